/** Network addresses in the data of other programs. Pure. */

const addressPattern = /^(?<host>[\w.-]{1,253}):(?<port>\d{1,5})$/u;

const maxPort = 65_535;

/** Whether a text is `HOST:PORT`, with a host that a URL may hold and a port that can be connected to. */
export function isAddress(text: string): boolean {
	const port = Number(addressPattern.exec(text)?.groups?.port);
	return port > 0 && port <= maxPort && URL.canParse(`http://${text}`);
}
