import { isDeepStrictEqual } from 'node:util'
import { type Clock } from '@reelspan/core.env'

/** A route of streams that may be taken up. */
export interface StreamRoute {
  host: string
  pathPrefix: string
  /** Models or pools that it leads to. */
  targets: readonly string[]
}

/** What chooses the route of a request. */
export interface RoutedPath {
  host: string
  path: string
}

interface SupersededRoutes {
  routes: readonly StreamRoute[]
  untilMs: number
}

/** More changes of these routes within the time for which clients wait are taken for a move of any route. */
const MAX_SUPERSEDED = 64

/** Where routes of streams have led lately. */
export class RouteTargets {
  readonly #clock: Clock
  #current: readonly StreamRoute[] = []
  #superseded: readonly SupersededRoutes[] = []

  constructor ({ clock }: { clock: Clock }) {
    this.#clock = clock
  }

  /** Records the routes in force. Must be called with each change of them. */
  observe (routes: readonly StreamRoute[]): void {
    if (isDeepStrictEqual(routes, this.#current)) return
    const known = new Map(this.#current.map((route) => [JSON.stringify(route), route]))
    if (this.#current.length > 0) this.#superseded = [...this.#superseded, { routes: this.#current, untilMs: this.#clock.nowMs() }].slice(-MAX_SUPERSEDED)
    this.#current = routes.map((route) => known.get(JSON.stringify(route)) ?? route)
  }

  /** Whether requests of a path may have led to another model or pool than this one within the given time. */
  mayHaveLedElsewhere (routed: RoutedPath, target: string, withinMs: number): boolean {
    const sinceMs = this.#clock.nowMs() - withinMs
    const lately = this.#superseded.filter(({ untilMs }) => untilMs >= sinceMs)
    return lately.length === MAX_SUPERSEDED || [this.#current, ...lately.map(({ routes }) => routes)].some((routes) => leadsElsewhere(routes, routed, target))
  }
}

function leadsElsewhere (routes: readonly StreamRoute[], { host, path }: RoutedPath, target: string): boolean {
  const matching = routes.filter((route) => route.host === host.toLowerCase() && path.startsWith(route.pathPrefix))
  const longest = matching.reduce<StreamRoute | undefined>((best, route) => best && best.pathPrefix.length >= route.pathPrefix.length ? best : route, undefined)
  return longest?.targets.some((one) => one !== target) ?? false
}
