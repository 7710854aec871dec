import { type Configuration } from '@reelspan/config.resources'
import { type Clock } from '@reelspan/core.env'
import { type EngineClient } from '@reelspan/upstream.client'
import { OrderOutcome, outcomeOf } from './orderOutcome.js'
import { type OrderRight } from './orderRight.js'
import { type OrderPlan, type OrderScope, type PlannedOrder, planOrders } from './planOrders.js'

export interface OrderControllerOptions {
  clock: Clock
  engines: EngineClient
  right: OrderRight
  configuration: () => Configuration
  orderTimeoutMs: number
  onOrder?: (order: PlannedOrder, outcome: OrderOutcome) => void
}

/** Carries out what is declared for the engines of one shard. */
export class OrderController {
  readonly #opts: OrderControllerOptions

  constructor (opts: OrderControllerOptions) {
    this.#opts = opts
  }

  /** Plans from the newest reports and sends what can be sent. Returns the plan. */
  async pass (scope: OrderScope): Promise<OrderPlan> {
    const plan = planOrders(this.#opts.configuration(), scope)
    for (const order of plan.orders) await this.#send(order)
    return plan
  }

  async #send (planned: PlannedOrder): Promise<void> {
    const { clock, engines, right, configuration, orderTimeoutMs, onOrder } = this.#opts
    const revision = configuration().revision
    // After a pause, news that came meanwhile is read before the right is checked.
    await clock.settle()
    if (!right.holds() || configuration().revision !== revision) {
      onOrder?.(planned, OrderOutcome.NotSent)
      return
    }
    await engines.order(planned.address, planned.order, { timeoutMs: orderTimeoutMs }).then(
      () => onOrder?.(planned, OrderOutcome.Accepted),
      (thrown: unknown) => onOrder?.(planned, outcomeOf(thrown))
    )
  }
}
