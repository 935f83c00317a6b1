/** Renders a day summary as one HTML page that works offline. */
import {verdicts, type Verdict} from '../ended-call.js';
import {listFacts} from '../explain-request.js';
import type {DaySummary, WorstCall} from '../day-summary.js';
import {
	drawSchedulers, drawOutcomes, drawFirstEvents, drawPauses, drawWaits,
} from './day-charts.js';
import {encodeHtml, formatCount, formatTable} from './html.js';

const style = `
body{font:15px/1.45 system-ui,sans-serif;margin:2em auto;max-width:62em;padding:0 1em;color:#1b1b1b;background:#fff}
h1{font-size:1.5em}h2{font-size:1.15em;margin-top:2em}
table{border-collapse:collapse;margin:.6em 0}th,td{border-bottom:1px solid #ddd;padding:.2em .7em;text-align:right}
th:first-child,td:first-child{text-align:left}
figure{margin:1em 0}figcaption{font-weight:600}svg{width:100%;height:auto}
svg text{font-size:11px;fill:#555}svg .grid{stroke:#eee}svg line.aim{stroke:#333;stroke-dasharray:5 4}svg text.aim{fill:#333}
.legend span{margin-right:1.2em;font-size:.85em}.legend i{display:inline-block;width:.8em;height:.8em;margin-right:.35em;vertical-align:-.05em}
.bar{display:inline-block;height:.8em;background:#d1495b;vertical-align:-.05em}
details{margin:.35em 0}code,pre{font:12px/1.4 ui-monospace,monospace}pre{overflow-x:auto;background:#f6f6f6;padding:.6em}
`;

/** Maximum width of a bar in a table, in pixels. */
const maxBarWidth = 320;

/** Verdicts of complete responses that missed an objective, and of calls without a complete response, in chart order. */
const lateVerdicts: Verdict[] = ['late first', 'long pause', 'late and long pause'];
const lostVerdicts: Verdict[] = ['refused', 'broken off', 'failed', 'left by caller'];

/** Formats a day summary as an HTML page. */
export function formatReport(day: DaySummary, files: string[]): string {
	const sections = [
		formatHead(day, files),
		'<h2>Worth lost, by reason</h2>',
		formatLosses(day),
		'<h2>Worth lost, by length of prompt</h2>',
		formatLengths(day),
		'<h2>First events and pauses</h2>',
		drawFirstEvents(day),
		drawPauses(day),
		'<h2>Waits, refusals and late answers over time</h2>',
		drawWaits(day),
		drawOutcomes(day, lostVerdicts, 'Calls without a whole answer, by when they came'),
		drawOutcomes(day, [...lateVerdicts, 'in aim'], 'Calls answered whole, by when they came'),
		'<h2>Who decided</h2>',
		drawSchedulers(day),
		formatSchedulers(day),
		'<h2>Calls that lost most</h2>',
		...day.worstCalls.map(worst => formatWorst(worst)),
	];
	return `<!doctype html>
<html lang="en"><head><meta charset="utf-8"><meta name="viewport" content="width=device-width, initial-scale=1"><title>cresshook report</title><style>${style}</style></head>
<body>
${sections.join('\n')}
</body></html>
`;
}

function formatHead({calls, valueShare, origin}: DaySummary, files: string[]): string {
	const rejected = calls.filter(call => call.verdict === 'rejected').length;
	return `<h1>cresshook report</h1>
<p>${encodeHtml(files.join(', '))}. Times count ${origin === undefined ? 'as the collector of the logs does' : `from ${origin}`}.</p>
<p>${formatCount(calls.length - rejected)} calls were owed an answer, and ${formatCount(valueShare * 100, 1)}% of their worth was brought.
${formatCount(rejected)} more had no route or key. Worth is counted as the planner does: the prompt's tokens and a base; an answer that is late or pauses too long keeps a part.
These are the nodes' logs: connections that never reached a node, and callers who try again under a new id, are not told apart.</p>`;
}

function formatLosses({losses}: DaySummary): string {
	const maxShare = losses[0]?.share ?? 1;
	return formatTable(['reason', 'calls', 'share of all worth', ''], losses.map(({reason, calls, share}) => [
		encodeHtml(reason), formatCount(calls), `${formatCount(share * 100, 2)}%`, `<span class="bar" style="width:${Math.round(share / maxShare * maxBarWidth)}px"></span>`,
	]));
}

function formatLengths({lengths}: DaySummary): string {
	const shown = verdicts.filter(verdict => verdict !== 'rejected');
	return formatTable(['prompts', 'calls', ...shown, 'worth', 'lost of all', 'later than predicted, p50 / p90 ms'], lengths.map(row => [
		row.length,
		formatCount(row.calls),
		...shown.map(verdict => formatCount(row.byVerdict[verdict] ?? 0)),
		formatCount(row.valueShare, 3),
		formatCount(row.lostShare, 3),
		row.predictionError === undefined ? '' : `${formatCount(row.predictionError.p50)} / ${formatCount(row.predictionError.p90)} (${formatCount(row.predictionError.count)})`,
	]));
}

function formatSchedulers({decisions, calls, schedulerChanges}: DaySummary): string {
	const count = (by: string) => calls.filter(call => call.decidedBy === by).length;
	const bypassCount = decisions.filter(({event}) => event === 'decider_passed_over').length;
	const rows = schedulerChanges.map(({at, service, to, nodeCount}) => [encodeHtml(service), formatCount(at / 1000, 1), encodeHtml(to), formatCount(nodeCount)]);
	return `<p>Last place of each call: ${formatCount(count('planner'))} by the deciding node, ${formatCount(count('self'))} by the node that took the call and decides itself,
${formatCount(count('fallback'))} by a node's own view; the deciding node was passed over ${formatCount(bypassCount)} times.</p>
${formatTable(['service', 's', 'decides from then on', 'nodes that say so'], rows)}`;
}

function formatWorst({call, cause, steps}: WorstCall): string {
	const rows = steps.map(step => `${formatCount((step.at - steps[0].at), 0).padStart(8)} ms  ${step.writer}  ${step.event}  ${listFacts(step)}`);
	const head = `<code>${encodeHtml(call.request)}</code>, ${formatCount(call.promptTokens)} tokens: ${encodeHtml(cause)}`;
	return `<details><summary>${head}</summary><pre>${encodeHtml(rows.join('\n'))}</pre></details>`;
}
