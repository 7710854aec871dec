import { type Named, type RouteSpec } from '@reelspan/config.resources'

/** The route with as many attempts as are left. */
export function withAttemptsUsed (route: Named<RouteSpec>, attemptsUsed: number): Named<RouteSpec> {
  return { ...route, spec: { ...route.spec, maxAttempts: Math.max(1, route.spec.maxAttempts - attemptsUsed) } }
}
