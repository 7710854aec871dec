import { AnswerBound, AnswerBoundExceeded } from '@reelspan/upstream.client'

/** The default of the parser library. */
const MAX_HEAD_BYTES = 81_920
/** As in Node's HTTP parser. */
const MAX_FIELDS = 2000
const MAX_TRAILER_BYTES = 16_384
/** Allows one for each second of a long call. */
const MAX_INTERIM_ANSWERS = 256
const MAX_INTERIM_BYTES = 81_920
/** The digits of a chunk size and its line end. */
const CHUNK_SIZE_LINE_BYTES = 10
/** Of one answer, since a body may have any number of chunks. */
const MAX_CHUNK_EXTENSION_BYTES = 1_048_576
/** Of one chunk. As in Node's HTTP parser. */
const MAX_CHUNK_LINE_BYTES = 16_384

/** The part of an answer that a line belongs to. */
export enum LinePart {
  StatusLine = 'statusLine',
  Field = 'field',
  Chunk = 'chunk',
  Trailer = 'trailer',
}

/** Bounds what an upstream may send around the bodies of its answers. Methods throw `AnswerBoundExceeded`. */
export class WireBounds {
  #headBytes = 0
  #fields = 0
  #interimAnswers = 0
  #interimBytes = 0
  #chunkLineBytes = 0
  #chunkExtensionBytes = 0
  #trailerBytes = 0

  /**
   * Records bytes of a line.
   *
   * @param ended whether the line is complete
   */
  recordLine (part: LinePart, bytes: number, ended: boolean): void {
    switch (part) {
      case LinePart.StatusLine:
      case LinePart.Field:
        this.#headBytes += bytes
        check(AnswerBound.Head, this.#headBytes, MAX_HEAD_BYTES)
        if (ended && part === LinePart.Field) this.#recordField()
        return
      case LinePart.Trailer:
        this.#trailerBytes += bytes
        check(AnswerBound.Trailers, this.#trailerBytes, MAX_TRAILER_BYTES)
        if (ended) this.#recordField()
        return
      case LinePart.Chunk:
        this.#recordChunkLine(bytes, ended)
    }
  }

  recordInterim (): void {
    this.#interimAnswers++
    this.#interimBytes += this.#headBytes
    this.#endHead()
    check(AnswerBound.Interim, this.#interimAnswers, MAX_INTERIM_ANSWERS)
    check(AnswerBound.Interim, this.#interimBytes, MAX_INTERIM_BYTES)
  }

  /** Records that the head of a final answer is complete. */
  recordFinal (): void {
    this.#endHead()
    this.#interimAnswers = this.#interimBytes = 0
    this.#chunkLineBytes = this.#chunkExtensionBytes = this.#trailerBytes = 0
  }

  #recordField (): void {
    this.#fields++
    check(AnswerBound.Fields, this.#fields, MAX_FIELDS)
  }

  #recordChunkLine (bytes: number, ended: boolean): void {
    this.#chunkLineBytes += bytes
    check(AnswerBound.ChunkExtensions, this.#chunkLineBytes, MAX_CHUNK_LINE_BYTES)
    if (!ended) return
    this.#chunkExtensionBytes += Math.max(0, this.#chunkLineBytes - CHUNK_SIZE_LINE_BYTES)
    this.#chunkLineBytes = 0
    check(AnswerBound.ChunkExtensions, this.#chunkExtensionBytes, MAX_CHUNK_EXTENSION_BYTES)
  }

  #endHead (): void {
    this.#headBytes = this.#fields = 0
  }
}

function check (bound: AnswerBound, value: number, limit: number): void {
  if (value > limit) throw new AnswerBoundExceeded(bound, limit)
}
