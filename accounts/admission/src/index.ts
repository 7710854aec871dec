export { UnknownKeyWaiter } from './unknownKeyWaiter.js'
export { Admission } from './admission.js'
export type { AdmissionRequest, BoxAdmission, Admitted } from './admission.js'
