import { runMemberHost } from '../lib/index.js'

runMemberHost()
