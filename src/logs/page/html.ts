/** Words and figures as HTML and SVG take them. */

const escapes: Record<string, string> = {
	'&': '&amp;', '<': '&lt;', '>': '&gt;', '"': '&quot;',
};

/** Escapes a text: what callers and servers are called is theirs to choose. */
export function encodeHtml(text: string): string {
	return text.replaceAll(/[&<>"]/g, found => escapes[found]);
}

/** A figure with thousands apart. */
export function formatCount(value: number, digits = 0): string {
	return value.toLocaleString('en-US', {maximumFractionDigits: digits, minimumFractionDigits: digits});
}

/** A table; cells are HTML. */
export function formatTable(heads: string[], rows: string[][]): string {
	const line = (cells: string[], tag: string) => `<tr>${cells.map(cell => `<${tag}>${cell}</${tag}>`).join('')}</tr>`;
	return `<table><thead>${line(heads, 'th')}</thead><tbody>${rows.map(row => line(row, 'td')).join('\n')}</tbody></table>`;
}
