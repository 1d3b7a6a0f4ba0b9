import { isIP } from "node:net";

/** Words of 32 bits, most significant first: 1 for IPv4, 4 for IPv6. */
export type AddressWords = readonly number[];

const DOT = 46;
const ZERO = 48;
const COLON = 58;
const UPPER_A = 65;
const LOWER_A = 97;
const LOWER_CASE_BIT = 32;
const GROUPS = 8;
const BITS_PER_GROUP = 16;
const GROUP_MASK = 0xffff;
const WORD_OF_MAPPED_PREFIX = 0xffff;

/**
 * Parses an IPv4 or IPv6 address. An IPv4 address mapped into IPv6 gives the IPv4 address, because listeners for both
 * families report IPv4 callers in that form.
 *
 * @returns `undefined` if the text is not an address.
 */
export function parseAddress(text: string): AddressWords | undefined {
    const family = isIP(text);
    if (family === 4) {
        return [parseFourParts(text)];
    }
    return family === 6 ? parseIpv6(text) : undefined;
}

function parseFourParts(text: string): number {
    let address = 0;
    let part = 0;
    for (let index = 0; index < text.length; index++) {
        const character = text.charCodeAt(index);
        if (character === DOT) {
            address = address << 8 | part;
            part = 0;
        }
        else {
            part = part * 10 + character - ZERO;
        }
    }
    return (address << 8 | part) >>> 0;
}

/** Written out because `ipaddr.js` takes 5 us for an address, which is most of the time of a lookup. */
function parseIpv6(text: string): AddressWords {
    const zone = text.indexOf("%");
    const address = zone < 0 ? text : text.slice(0, zone);
    const gap = address.indexOf("::");
    const head = parseGroups(gap < 0 ? address : address.slice(0, gap));
    const tail = gap < 0 ? [] : parseGroups(address.slice(gap + 2));
    const groups = [...head, ...new Array<number>(GROUPS - head.length - tail.length).fill(0), ...tail];
    const words: number[] = [];
    for (let index = 0; index < GROUPS; index += 2) {
        words.push(((groups[index] as number) << BITS_PER_GROUP | (groups[index + 1] as number)) >>> 0);
    }
    const isMapped = words[0] === 0 && words[1] === 0 && words[2] === WORD_OF_MAPPED_PREFIX;
    return isMapped ? words.slice(3) : words;
}

/** Groups of 16 bits; the last one may be an IPv4 address, which stands for two. */
function parseGroups(text: string): number[] {
    const groups: number[] = [];
    let group = 0;
    for (let index = 0; index < text.length; index++) {
        const character = text.charCodeAt(index);
        if (character === DOT) {
            const tail = parseFourParts(text.slice(text.lastIndexOf(":") + 1));
            return [...groups, tail >>> BITS_PER_GROUP, tail & GROUP_MASK];
        }
        if (character === COLON) {
            groups.push(group);
            group = 0;
        }
        else {
            group = group << 4 | digitOf(character);
        }
    }
    return text === "" ? groups : [...groups, group];
}

function digitOf(character: number): number {
    return character < UPPER_A ? character - ZERO : (character | LOWER_CASE_BIT) - LOWER_A + 10;
}
