import { defineCoordinatorTest, DISCOVERY_MS, SEEDS_ONLY } from './__utils__/defineRestartTests.js'

defineCoordinatorTest({ boxes: 690, seeds: [1, 2], isListed: SEEDS_ONLY, discoveryMs: DISCOVERY_MS })
