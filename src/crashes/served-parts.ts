/** Fingerprints of prompt parts in recent answers: what has been served is sound. */
import * as bounded from '../bounded';

/** The part served longest ago is dropped first. */
const MAX_PARTS = 4_096;

export class ServedParts {
  private readonly parts = new Set<string>();

  note(parts: readonly string[]): void {
    for (const part of parts) {
      this.parts.delete(part);
      this.parts.add(part);
      bounded.dropOldest(this.parts, MAX_PARTS);
    }
  }

  has(part: string): boolean {
    return this.parts.has(part);
  }
}
