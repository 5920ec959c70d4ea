/** Fingerprints of prompt parts in recent answers: what has been served is sound. */
import * as bounded from '../bounded';

/** The part served longest ago is dropped first. */
const MAX_PARTS = 4_096;
/** The service served longest ago is dropped first. */
const MAX_SERVICES = 256;

export class ServedParts {
  private readonly parts = new Set<string>();
  private readonly services = new Set<string>();

  note(service: string, parts: readonly string[]): void {
    this.services.delete(service);
    this.services.add(service);
    bounded.dropOldest(this.services, MAX_SERVICES);
    for (const part of parts) {
      this.parts.delete(part);
      this.parts.add(part);
      bounded.dropOldest(this.parts, MAX_PARTS);
    }
  }

  /** True if any request of the service was served. */
  hasService(service: string): boolean {
    return this.services.has(service);
  }

  has(part: string): boolean {
    return this.parts.has(part);
  }
}
