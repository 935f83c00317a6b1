/** Analysis of gateway logs: explains single requests and summarises days. */
export * from './day-summary.js';
export * from './ended-call.js';
export * from './explain-request.js';
export * from './find-cause.js';
export * from './log-line.js';
export * from './read-logs.js';
export * from './request-timeline.js';
export {formatReport} from './page/report-page.js';
