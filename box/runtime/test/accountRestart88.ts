import { defineRestartTests, SEEDS_ONLY } from './__utils__/defineRestartTests.js'

defineRestartTests({ boxes: 88, seeds: [1, 2], isListed: SEEDS_ONLY })
