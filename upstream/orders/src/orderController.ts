import { type Configuration } from '@reelspan/config.resources'
import { type Clock } from '@reelspan/core.env'
import { type EngineClient } from '@reelspan/upstream.client'
import { OrderOutcome, outcomeOf } from './orderOutcome.js'
import { type OrderLease } from './orderLease.js'
import { type OrderPlan, type OrderScope, type PlannedOrder, planOrders } from './planOrders.js'

export interface OrderControllerOptions {
  clock: Clock
  engines: EngineClient
  lease: OrderLease
  configuration: () => Configuration
  orderTimeoutMs: number
  onOrder?: (order: PlannedOrder, outcome: OrderOutcome) => void
}

/** Reconciles the engines of one shard with their declared configuration. */
export class OrderController {
  readonly #opts: OrderControllerOptions

  constructor (opts: OrderControllerOptions) {
    this.#opts = opts
  }

  /** Plans orders from the newest reports and sends those that can be sent. Returns the plan. */
  async reconcile (scope: OrderScope): Promise<OrderPlan> {
    const plan = planOrders(this.#opts.configuration(), scope)
    for (const order of plan.orders) await this.#send(order)
    return plan
  }

  async #send (planned: PlannedOrder): Promise<void> {
    const { clock, engines, lease, configuration, orderTimeoutMs, onOrder } = this.#opts
    const revision = configuration().revision
    // After a pause of the process, updates received meanwhile are processed before the lease is checked.
    await clock.awaitPendingInput()
    if (!lease.isValid() || configuration().revision !== revision) {
      onOrder?.(planned, OrderOutcome.NotSent)
      return
    }
    await engines.order(planned.address, planned.order, { timeoutMs: orderTimeoutMs }).then(
      () => onOrder?.(planned, OrderOutcome.Accepted),
      (thrown: unknown) => onOrder?.(planned, outcomeOf(thrown))
    )
  }
}
