#!/usr/bin/env node
import { runStandIn } from '../lib/index.js'

await runStandIn(process.argv[2], JSON.parse(process.argv[3] ?? '{}'))
