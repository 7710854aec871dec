export { main } from './main.js'
export { startBox } from './startBox.js'
