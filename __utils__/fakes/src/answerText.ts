import { hash32 } from '@reelspan/core.hashing'

/** Starts each generated token, so that a prompt can be told from what was generated after it. */
const TOKEN_MARK = '§'
const LENGTH_MARK = /#len=(\d+)#/

export interface PromptOptions {
  shared?: string
  /** Tokens that the engines will generate for it. */
  answerTokens: number
}

/** A prompt for the stand-in engines. */
export function promptFor (id: string, { shared = '', answerTokens }: PromptOptions): string {
  return `${shared}[${id}] #len=${answerTokens}#`
}

/** What a stand-in engine generates at a position. It depends on the caller's prompt alone. */
export function tokenAt (prompt: string, index: number): string {
  return `${TOKEN_MARK}${hash32(originalPrompt(prompt)).toString(36)}.${index} `
}

/** Tokens that a stand-in engine generates for a prompt. */
export function answerLength (prompt: string, maxTokens: number): number {
  const [, length] = LENGTH_MARK.exec(originalPrompt(prompt)) ?? []
  return length === undefined ? maxTokens : Number(length)
}

/** The whole answer that a caller must get. */
export function expectedAnswer (prompt: string, maxTokens: number): string {
  const length = Math.min(maxTokens, answerLength(prompt, maxTokens))
  return Array.from({ length }, (_, index) => tokenAt(prompt, index)).join('')
}

/** Names a prompt in an engine's log of runs. */
export function promptId (prompt: string): string {
  return /\[([^\]]+)\] #len/.exec(originalPrompt(prompt))?.[1] ?? originalPrompt(prompt)
}

function originalPrompt (prompt: string): string {
  return prompt.split(TOKEN_MARK, 1)[0]
}
