import { hash32 } from '@reelspan/core.hashing'

/** Prefix of each generated token. It separates the original prompt from generated text that was appended to it. */
const TOKEN_MARK = '§'
const LENGTH_MARK = /#len=(\d+)#/

export interface PromptOptions {
  shared?: string
  /** Number of tokens that engines generate for the prompt. */
  answerTokens: number
}

/** Creates a prompt for the fake engines, with its id and answer length in the text. */
export function promptFor (id: string, { shared = '', answerTokens }: PromptOptions): string {
  return `${shared}[${id}] #len=${answerTokens}#`
}

/** The token that a fake engine generates at a position. It depends only on the original prompt. */
export function tokenAt (prompt: string, index: number): string {
  return `${TOKEN_MARK}${hash32(originalPrompt(prompt)).toString(36)}.${index} `
}

/** Number of tokens that a fake engine generates for a prompt. */
export function answerLength (prompt: string, maxTokens: number): number {
  const [, length] = LENGTH_MARK.exec(originalPrompt(prompt)) ?? []
  return length === undefined ? maxTokens : Number(length)
}

/** The complete answer that a caller must receive. */
export function expectedAnswer (prompt: string, maxTokens: number): string {
  const length = Math.min(maxTokens, answerLength(prompt, maxTokens))
  return Array.from({ length }, (_, index) => tokenAt(prompt, index)).join('')
}

/** Id by which an engine records the runs of a prompt. */
export function promptId (prompt: string): string {
  return /\[([^\]]+)\] #len/.exec(originalPrompt(prompt))?.[1] ?? originalPrompt(prompt)
}

function originalPrompt (prompt: string): string {
  return prompt.split(TOKEN_MARK, 1)[0]
}
