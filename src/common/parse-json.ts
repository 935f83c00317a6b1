/** JSON of other programs, whatever its nesting. Pure. */

/** Levels of nesting that are read: several times those of any message. Each level costs memory and time, and programs that walk through values fail at some thousand. */
const maxLevels = 64;

const quote = 0x22;
const backslash = 0x5C;
const openBracket = 0x5B;
const closeBracket = 0x5D;
const openBrace = 0x7B;
const closeBrace = 0x7D;

/** Parses JSON; lists and objects below the maximum level are replaced by null. Throws on invalid JSON above that level. */
export function parseJson(text: string): unknown {
	return JSON.parse(cutLevels(text));
}

/** Replaces lists and objects below the maximum level. */
function cutLevels(text: string): string {
	let level = 0;
	const parts: string[] = [];
	let keptFrom = 0;
	for (let index = 0; index < text.length; index++) {
		const code = text.charCodeAt(index); // eslint-disable-line unicorn/prefer-code-point -- all of these characters are one unit
		switch (code) {
			case quote: {
				index = findStringEnd(text, index);

				break;
			}

			case openBracket:
			case openBrace: {
				level++;
				if (level === maxLevels + 1) {
					parts.push(text.slice(keptFrom, index), 'null');
				}

				break;
			}

			case closeBracket:
			case closeBrace: {
				if (level === maxLevels + 1) {
					keptFrom = index + 1;
				}

				level--;

				break;
			}
		// No default
		}
	}

	// What is cut off within such a value is invalid.
	return level > maxLevels ? '' : parts.join('') + text.slice(keptFrom);
}

/** Returns the index of the quote that ends a string, or that of the end of the text. */
function findStringEnd(text: string, start: number): number {
	let end = text.indexOf('"', start + 1);
	while (end !== -1 && isEscaped(text, end)) {
		end = text.indexOf('"', end + 1);
	}

	return end === -1 ? text.length : end;
}

function isEscaped(text: string, index: number): boolean {
	let first = index;
	while (text.charCodeAt(first - 1) === backslash) { // eslint-disable-line unicorn/prefer-code-point -- a backslash is one unit
		first--;
	}

	return (index - first) % 2 === 1;
}
