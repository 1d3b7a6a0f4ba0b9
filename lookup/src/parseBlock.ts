import { type AddressWords, parseAddress } from "./parseAddress.js";

interface Block {
    readonly address: AddressWords;
    /** Prefix length in bits. */
    readonly length: number;
}

const BITS_PER_WORD = 32;

/**
 * Parses a client block such as `192.0.2.0/24` or `2001:db8::/32`.
 *
 * @returns `undefined` if the text is not a block, has bits set after its prefix, or is an IPv4-mapped IPv6 block.
 */
export function parseBlock(text: string): Block | undefined {
    const [addressText = "", lengthText = "", ...rest] = text.split("/");
    const address = parseAddress(addressText);
    const isMapped = address?.length === 1 && addressText.includes(":");
    if (address === undefined || isMapped || rest.length > 0 || !/^\d{1,3}$/.test(lengthText)) {
        return undefined;
    }
    const length = Number(lengthText);
    if (length > address.length * BITS_PER_WORD || hasBitsPastPrefix(address, length)) {
        return undefined;
    }
    return { address, length };
}

function hasBitsPastPrefix(address: AddressWords, length: number): boolean {
    return address.some((word, index) => {
        const prefixBits = Math.min(Math.max(length - index * BITS_PER_WORD, 0), BITS_PER_WORD);
        return prefixBits === 0 ? word !== 0 : prefixBits < BITS_PER_WORD && (word << prefixBits) !== 0;
    });
}
