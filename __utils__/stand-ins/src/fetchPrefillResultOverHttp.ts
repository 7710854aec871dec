import { type ExportedResult, type FetchPrefillResult } from '@reelspan/utils.fakes'
import { UpstreamError } from '@reelspan/upstream.client'
import { request } from 'undici'

/** Fetches a prefill result from another stand-in engine over HTTP. */
export const fetchPrefillResultOverHttp: FetchPrefillResult = async (prefillAddress, label) => {
  const response = await request(`http://${prefillAddress}/v1/export`, { method: 'POST', body: JSON.stringify({ label }) })
  const body = await response.body.json()
  if (response.statusCode !== 200) throw new UpstreamError('the prefill result does not exist', { mayHaveRun: false, refused: true })
  return body as ExportedResult
}
