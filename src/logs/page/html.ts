/** Escapes text and formats numbers and tables for HTML and SVG. */

const escapes: Record<string, string> = {
	'&': '&amp;', '<': '&lt;', '>': '&gt;', '"': '&quot;',
};

/** Escapes text, since request ids and server names are not trusted. */
export function encodeHtml(text: string): string {
	return text.replaceAll(/[&<>"]/g, found => escapes[found]);
}

/** Formats a number with separators for thousands. */
export function formatCount(value: number, digits = 0): string {
	return value.toLocaleString('en-US', {maximumFractionDigits: digits, minimumFractionDigits: digits});
}

/** Formats a table; cells are HTML and not escaped. */
export function formatTable(heads: string[], rows: string[][]): string {
	const line = (cells: string[], tag: string) => `<tr>${cells.map(cell => `<${tag}>${cell}</${tag}>`).join('')}</tr>`;
	return `<table><thead>${line(heads, 'th')}</thead><tbody>${rows.map(row => line(row, 'td')).join('\n')}</tbody></table>`;
}
