export { answerLookup } from './answerLookup.js'
export type { LookupAnswer, LookupOptions, LookupBox } from './answerLookup.js'
