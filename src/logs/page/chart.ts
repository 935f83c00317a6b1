/** Renders charts as SVG without a library, so that the page is one file that works offline. */
import {encodeHtml, formatCount} from './html.js';
import type {Scale} from './scale.js';

/** Size and margins of a chart, in pixels. */
const size = {
	width: 960, height: 300, left: 64, right: 36, top: 12, bottom: 40,
};

/** A data series of a chart. */
export type Series = {name: string; color: string};

/** A data point; `title` is its tooltip. */
export type ChartPoint = {x: number; y: number; series: number; title: string};

/** A horizontal line, such as an objective. */
export type ChartLine = {y: number; name: string};

/** Title, axes and series of a chart. */
export type ChartFrame = {
	title: string; xName: string; yName: string; x: Scale; y: Scale; series: Series[];
};

/** Renders a scatter chart. */
export function drawPoints(frame: ChartFrame, points: ChartPoint[], lines: ChartLine[] = []): string {
	const marks = points.map(point => {
		const [x, y] = [placeX(frame, point.x), placeY(frame, point.y)];
		return `<circle cx="${x}" cy="${y}" r="2.5" fill="${frame.series[point.series].color}"><title>${encodeHtml(point.title)}</title></circle>`;
	});
	return drawFrame(frame, [...lines.map(line => drawLine(frame, line)), ...marks]);
}

/** Renders a stacked bar chart; `heights` has one entry for each series. */
export function drawBars(frame: ChartFrame, barWidth: number, bars: Array<{x: number; heights: number[]}>): string {
	const marks = bars.flatMap(({x, heights}) => {
		let base = 0;
		return heights.map((height, series) => {
			const [bottom, top] = [placeY(frame, base), placeY(frame, base + height)];
			const [left, right] = [placeX(frame, x), placeX(frame, x + barWidth)];
			base += height;
			const {name, color} = frame.series[series];
			const area = `x="${left}" y="${top}" width="${trimDigits(Math.max(1, right - left - 1))}" height="${trimDigits(bottom - top)}"`;
			return height === 0 ? '' : `<rect ${area} fill="${color}"><title>${encodeHtml(`${formatCount(x)}: ${name}, ${formatCount(height)}`)}</title></rect>`;
		});
	});
	return drawFrame(frame, marks);
}

function drawFrame(frame: ChartFrame, marks: string[]): string {
	const {
		width, height, left, right, top, bottom,
	} = size;
	const xTicks = frame.x.ticks.map(tick => `<text x="${placeX(frame, tick)}" y="${height - bottom + 16}" text-anchor="middle">${formatTick(tick)}</text>`);
	const yTicks = frame.y.ticks.map(tick => {
		const at = placeY(frame, tick);
		return `<line class="grid" x1="${left}" x2="${width - right}" y1="${at}" y2="${at}"/><text x="${left - 6}" y="${trimDigits(at + 4)}" text-anchor="end">${formatTick(tick)}</text>`;
	});
	const legend = frame.series.map(series => `<span><i style="background:${series.color}"></i>${encodeHtml(series.name)}</span>`).join('');
	return `<figure><figcaption>${encodeHtml(frame.title)}</figcaption>
<svg viewBox="0 0 ${width} ${height}" role="img" aria-label="${encodeHtml(frame.title)}">
${[...yTicks, ...xTicks].join('\n')}
<text x="${(width + left) / 2}" y="${height - 6}" text-anchor="middle">${encodeHtml(frame.xName)}</text>
<text transform="translate(14 ${(height - bottom + top) / 2}) rotate(-90)" text-anchor="middle">${encodeHtml(frame.yName)}</text>
${marks.filter(mark => mark !== '').join('\n')}
</svg><div class="legend">${legend}</div></figure>`;
}

function drawLine(frame: ChartFrame, {y, name}: ChartLine): string {
	const at = placeY(frame, y);
	const end = size.width - size.right;
	return `<line class="aim" x1="${size.left}" x2="${end}" y1="${at}" y2="${at}"/><text class="aim" x="${end}" y="${trimDigits(at - 3)}" text-anchor="end">${encodeHtml(name)}</text>`;
}

function placeX({x}: ChartFrame, value: number): number {
	return trimDigits(size.left + (x.place(value) * (size.width - size.left - size.right)));
}

function placeY({y}: ChartFrame, value: number): number {
	const base = size.height - size.bottom;
	return trimDigits(base - (y.place(value) * (base - size.top)));
}

function trimDigits(value: number): number {
	return Math.round(value * 10) / 10;
}

function formatTick(tick: number): string {
	return formatCount(tick, Math.abs(tick) < 1 && tick !== 0 ? 2 : 0);
}
