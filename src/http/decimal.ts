/** Decimal numbers in headers of target responses. */

/** Digits with an optional fraction; no sign and no exponent. */
const DECIMAL = /^(\d+\.?\d*|\.\d+)$/;
const MAX_KEPT_CHARACTERS = 40;

/** A header value that is not a number or not a plausible one, truncated. */
export interface UnparsableText {
  readonly kind: 'unread';
  readonly text: string;
}

/** Returns undefined if the text is not a decimal number. */
export function parseDecimal(text: string): number | undefined {
  return DECIMAL.test(text) ? Number(text) : undefined;
}

export function unparsable(text: string): UnparsableText {
  return {kind: 'unread', text: text.slice(0, MAX_KEPT_CHARACTERS)};
}
