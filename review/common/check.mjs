// The rules of RULES.md that a record is checked against, as far as clients and servers can see them.

const PROMISES = [408, 421, 429, 503]
const REPEATABLE = ['reply', 'status']

/** Returns one line for each request with which a rule was broken. */
export function brokenRules (record) {
  const sent = new Map(record.of('sent').map((event) => [event.id, event]))
  const runs = groupById(record.of('runs'))
  const ends = groupById(record.of('ran'))
  const broken = []
  runs.forEach((ofRequest, id) => {
    const request = sent.get(id)
    if (!request) broken.push({ rule: 'UNASKED', id, text: 'ran, but no client sent it' })
    else if (!REPEATABLE.includes(request.kind) && ofRequest.length > 1) broken.push({ rule: 'TWICE', id, text: `a request that may run once (${request.kind}) ran ${ofRequest.length} times, at ${ofRequest.map(({ server, atMs }) => `${server} (${atMs} ms)`).join(', ')}` })
  })
  record.of('answered').forEach(({ id, kind, status, stamp, atMs }) => {
    const [run] = runs.get(id) ?? []
    const isOwn = stamp === undefined
    if (!REPEATABLE.includes(kind) && PROMISES.includes(status) && run) broken.push({ rule: 'REFUSED', id, text: `a request that may run once (${kind}) got ${status} at ${atMs} ms, and runs at ${run.server} from ${run.atMs} ms on` })
    const end = ends.get(id)?.find(({ server }) => stamp === `${server}.${id}`)
    if (!isOwn && end && end.status !== status) broken.push({ rule: 'MIXED', id, text: `the answer (${kind}) has the signature of ${end.server} and status ${status}; the server gave ${end.status}` })
    if (status >= 200 && status < 300 && !stamp?.endsWith(`.${id}`)) broken.push({ rule: 'MIXED', id, text: `a success has the signature «${stamp}»` })
    if (isOwn && [400, 401, 403, 404].includes(status)) broken.push({ rule: 'DENIED', id, text: `an own ${status}` })
  })
  return broken
}

function groupById (events) {
  const groups = new Map()
  events.forEach((event) => groups.set(event.id, [...groups.get(event.id) ?? [], event]))
  return groups
}
