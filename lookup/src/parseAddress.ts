import { isIP } from "node:net";

/** Address as 32-bit words, most significant first: one for IPv4, four for IPv6. */
export type AddressWords = readonly number[];

const DOT_CODE = 46;
const ZERO_CODE = 48;
const COLON_CODE = 58;
const UPPER_A_CODE = 65;
const LOWER_A_CODE = 97;
const LOWER_CASE_BIT_MASK = 32;
const GROUP_COUNT = 8;
const BITS_PER_GROUP = 16;
const GROUP_MASK = 0xffff;
const MAPPED_PREFIX_WORD = 0xffff;

/**
 * Parses an IPv4 or IPv6 address. An IPv4-mapped IPv6 address yields the IPv4 address, because listeners for both
 * families report IPv4 callers in that form. An IPv6 zone id is ignored.
 *
 * @returns `undefined` if the text is not an address.
 */
export function parseAddress(text: string): AddressWords | undefined {
    const family = isIP(text);
    if (family === 4) {
        return [parseIpv4(text)];
    }
    return family === 6 ? parseIpv6(text) : undefined;
}

function parseIpv4(text: string): number {
    let address = 0;
    let part = 0;
    for (let index = 0; index < text.length; index++) {
        const code = text.charCodeAt(index);
        if (code === DOT_CODE) {
            address = address << 8 | part;
            part = 0;
        }
        else {
            part = part * 10 + code - ZERO_CODE;
        }
    }
    return (address << 8 | part) >>> 0;
}

/** Does not use `ipaddr.js`, which takes 5 us for an address and would account for most of the time of a lookup. */
function parseIpv6(text: string): AddressWords {
    const zoneIndex = text.indexOf("%");
    const address = zoneIndex < 0 ? text : text.slice(0, zoneIndex);
    const compressionIndex = address.indexOf("::");
    const headGroups = parseGroups(compressionIndex < 0 ? address : address.slice(0, compressionIndex));
    const tailGroups = compressionIndex < 0 ? [] : parseGroups(address.slice(compressionIndex + 2));
    const groups = [
        ...headGroups,
        ...new Array<number>(GROUP_COUNT - headGroups.length - tailGroups.length).fill(0),
        ...tailGroups,
    ];
    const words: number[] = [];
    for (let index = 0; index < GROUP_COUNT; index += 2) {
        words.push(((groups[index] as number) << BITS_PER_GROUP | (groups[index + 1] as number)) >>> 0);
    }
    const isMapped = words[0] === 0 && words[1] === 0 && words[2] === MAPPED_PREFIX_WORD;
    return isMapped ? words.slice(3) : words;
}

/** Parses groups of 16 bits. The last group may be an IPv4 address, which yields two groups. */
function parseGroups(text: string): number[] {
    const groups: number[] = [];
    let group = 0;
    for (let index = 0; index < text.length; index++) {
        const code = text.charCodeAt(index);
        if (code === DOT_CODE) {
            const ipv4Address = parseIpv4(text.slice(text.lastIndexOf(":") + 1));
            return [...groups, ipv4Address >>> BITS_PER_GROUP, ipv4Address & GROUP_MASK];
        }
        if (code === COLON_CODE) {
            groups.push(group);
            group = 0;
        }
        else {
            group = group << 4 | digitOf(code);
        }
    }
    return text === "" ? groups : [...groups, group];
}

function digitOf(code: number): number {
    return code < UPPER_A_CODE ? code - ZERO_CODE : (code | LOWER_CASE_BIT_MASK) - LOWER_A_CODE + 10;
}
