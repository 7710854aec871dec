// Stand-in for an engine of a plain service that answers with streams. Usage: node engine.mjs HOST PORT ID
// A request with Last-Event-Id goes on behind that event. Prints one JSON line for each run and its end.
import http from 'node:http'

const [host, port, id] = process.argv.slice(2)
const EVENTS = 60
const EVENT_MS = 50
const sleep = (ms) => new Promise((resolve) => setTimeout(resolve, ms))
const print = (line) => process.stdout.write(`${JSON.stringify(line)}\n`)

http.createServer(async (message, response) => {
  message.resume()
  response.on('error', () => {})
  const { url, headers } = message
  if (url === '/health') return response.writeHead(200, { 'X-Reelspan-Instance-Id': id }).end()
  const request = headers['x-reelspan-request-id']
  const own = { 'X-Reelspan-Request-Id': request, 'X-Reelspan-Server-Stamp': `${id}.${request}` }
  const expected = headers['x-reelspan-expect-instance']
  if (expected !== undefined && expected !== id) return response.writeHead(421, { ...own, 'X-Reelspan-Not-Executed': '1' }).end()
  const after = headers['last-event-id']
  print({ runs: request, at: id, lastEventId: after ?? null })
  response.writeHead(200, { ...own, 'Content-Type': 'text/event-stream' })
  for (let i = after === undefined ? 0 : Number(after) + 1; i < EVENTS && !response.destroyed; i++) {
    await sleep(EVENT_MS)
    response.write(`id: ${i}\ndata: piece ${i}\n\n`)
  }
  response.end()
}).listen(Number(port), host, () => print({ listens: id }))
// Ends with the script that started it, however that ends.
process.stdin.on('end', () => process.exit()).resume()
