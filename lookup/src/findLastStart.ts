import type { AddressWords } from "./parseAddress.js";

/**
 * Finds the last entry that is not greater than the address by binary search.
 *
 * @param starts Sorted start addresses of `stride` words each.
 * @returns Index of the entry; -1 if there is none.
 */
export function findLastStart(starts: Uint32Array, stride: number, address: AddressWords): number {
    return stride === 1
        ? findSingleWordStart(starts, address[0] as number)
        : findMultiWordStart(starts, stride, address);
}

function findSingleWordStart(starts: Uint32Array, address: number): number {
    let low = 0;
    let high = starts.length;
    while (low < high) {
        const middle = (low + high) >>> 1;
        if ((starts[middle] as number) <= address) {
            low = middle + 1;
        }
        else {
            high = middle;
        }
    }
    return low - 1;
}

function findMultiWordStart(starts: Uint32Array, stride: number, address: AddressWords): number {
    let low = 0;
    let high = starts.length / stride;
    while (low < high) {
        const middle = (low + high) >>> 1;
        const offset = middle * stride;
        let word = 0;
        while (word < stride - 1 && starts[offset + word] === address[word]) {
            word++;
        }
        if ((starts[offset + word] as number) <= (address[word] as number)) {
            low = middle + 1;
        }
        else {
            high = middle;
        }
    }
    return low - 1;
}
