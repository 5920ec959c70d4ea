/** Reports crashes and successes to the entries that arbitrate their services. */
import type {PeerRanking} from '../peers/peer-ranking';
import type {RpcClient} from '../rpc/client';
import * as app from './app';
import * as fingerprints from './fingerprints';

/** Allows for a round trip and one lost packet. */
const RPC_TIMEOUT_MS = 400;
/** Successes are collected for so long before they are reported. */
const SERVED_DELAY_MS = 50;

export interface ReporterContext {
  readonly rpc: RpcClient;
  readonly peers: PeerRanking;
  /** This entry arbitrates the report's service. */
  onOwnReport(report: app.Report): void;
  /** The report goes to another entry. */
  onSentReport(report: app.Report): void;
}

export class CrashReporter {
  /** Successes to report, by service. */
  private readonly served = new Map<string, Set<string>>();
  private servedTimer: NodeJS.Timeout | undefined;
  private isClosed = false;

  constructor(private readonly context: ReporterContext) {}

  close(): void {
    this.isClosed = true;
    clearTimeout(this.servedTimer);
  }

  /** RPC address of the entry that arbitrates a service. */
  arbiterOf(service: string): string {
    return this.context.peers.responsive(service)[0]!;
  }

  report(report: app.Report): void {
    const arbiter = this.arbiterOf(report.service);
    if (arbiter === this.context.peers.ownAddress) {
      this.context.onOwnReport(report);
    } else {
      this.context.onSentReport(report);
      void this.send(arbiter, report);
    }
  }

  /** Reports that a request with the fingerprint was served, soon. */
  reportServed(fingerprint: string): void {
    const service = fingerprints.serviceOf(fingerprint);
    const served = this.served.get(service) ?? new Set();
    this.served.set(service, served.add(fingerprint));
    this.servedTimer ??= setTimeout(() => this.flushServed(), SERVED_DELAY_MS);
  }

  private flushServed(): void {
    this.servedTimer = undefined;
    const reports = [...this.served];
    this.served.clear();
    for (const [service, served] of reports) {
      this.report({service, crashes: [], served: [...served]});
    }
  }

  private async send(arbiter: string, report: app.Report): Promise<void> {
    const {rpc, peers} = this.context;
    const params = {...report, from: peers.ownAddress};
    const answer = await rpc.call(arbiter, app.report, params, RPC_TIMEOUT_MS);
    if (answer.ok) {
      peers.markResponsive(arbiter);
    } else if (!this.isClosed) {
      // The next peer in the order arbitrates now.
      peers.markUnresponsive(arbiter);
      this.report(report);
    }
  }
}
