/** Numbers that targets name in headers of their answers. */

/** Fractions included; a sign, an exponent or a date is none. */
const DECIMAL = /^(\d+\.?\d*|\.\d+)$/;
/** Longest part of a text that can't be read that is kept, in characters. */
const MAX_KEPT_CHARACTERS = 40;

/** Something that is no number, or none that anybody means. */
export interface UnparsableText {
  readonly kind: 'unread';
  readonly text: string;
}

/** Undefined where the text is no decimal number. */
export function parseDecimal(text: string): number | undefined {
  return DECIMAL.test(text) ? Number(text) : undefined;
}

export function unparsable(text: string): UnparsableText {
  return {kind: 'unread', text: text.slice(0, MAX_KEPT_CHARACTERS)};
}
