import { request } from 'undici'

export interface BoxClientOptions {
  /** `ip:port` of a box's operator address. */
  box: string
  token?: string
}

/** The box answered with an error. */
export class BoxAnswerError extends Error {
  readonly status: number

  constructor (status: number, message: string) {
    super(message)
    this.status = status
  }
}

/** The box did not answer. */
export class BoxUnreachableError extends Error {}

/** Client of a box's operator API. */
export class BoxClient {
  readonly #opts: BoxClientOptions

  constructor (opts: BoxClientOptions) {
    this.#opts = opts
  }

  async json<T> (path: string): Promise<T> {
    return JSON.parse(await this.text(path)) as T
  }

  async text (path: string): Promise<string> {
    const { box, token } = this.#opts
    const response = await request(`http://${box}${path}`, { headers: token === undefined ? {} : { authorization: `Bearer ${token}` } })
      .catch((cause: Error) => { throw new BoxUnreachableError(`box ${box} cannot be reached: ${cause.message}`) })
    const text = await response.body.text()
    if (response.statusCode !== 200) throw new BoxAnswerError(response.statusCode, errorText(text, response.statusCode))
    return text
  }
}

function errorText (text: string, status: number): string {
  try {
    return (JSON.parse(text) as { error: { message: string } }).error.message
  } catch {
    // The body is not an error of the box's API, so only the status is known.
    return `status ${status}`
  }
}
