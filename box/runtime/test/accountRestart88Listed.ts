import { defineRestartTests, TWO_THIRDS_LISTED } from './__utils__/defineRestartTests.js'

defineRestartTests({ boxes: 88, seeds: [1, 2], isListed: TWO_THIRDS_LISTED })
