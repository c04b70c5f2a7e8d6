import {
  CLOUD_PATHS,
  type CloudMachine,
  decode,
  encode,
  machineListOf,
  type MachineTypeList,
  readMachineTypes,
  rentedNamesOf,
  rentMap,
  type RentRequest,
  RETURN_MOST,
  returnMap,
} from '@gingerlock/wire';
import type { Http } from './ports';

export type RentResult =
  | { readonly kind: 'rented'; readonly names: string[] }
  | { readonly kind: 'no capacity' }
  /** To be asked again under the same name. */
  | { readonly kind: 'unknown'; readonly why: string };

export class CloudRequestError extends Error {
  constructor(what: string, status: number) {
    super(`${what}: status ${status}`);
    this.name = 'CloudRequestError';
  }
}

export class Cloud {
  constructor(
    readonly http: Http,
    readonly addr: string,
    readonly timeoutMs: number,
  ) {}

  async types(): Promise<MachineTypeList> {
    const answer = await this.http(this.addr, 'GET', CLOUD_PATHS.types, null, this.timeoutMs);
    if (answer.status !== 200) throw new CloudRequestError('machine types', answer.status);
    return readMachineTypes(decode(answer.body));
  }

  async list(): Promise<CloudMachine[]> {
    const machines: CloudMachine[] = [];
    for (let after = '', more = true; more;) {
      const answer = await this.http(this.addr, 'GET', CLOUD_PATHS.list(after), null, this.timeoutMs);
      if (answer.status !== 200) throw new CloudRequestError('machine list', answer.status);
      const page = machineListOf(decode(answer.body));
      machines.push(...page.machines);
      after = page.machines.at(-1)?.name ?? after;
      more = page.more && page.machines.length > 0;
    }
    return machines;
  }

  async rent(request: RentRequest): Promise<RentResult> {
    try {
      const answer = await this.http(this.addr, 'POST', CLOUD_PATHS.rent, encode(rentMap(request)), this.timeoutMs);
      if (answer.status === 200) return { kind: 'rented', names: rentedNamesOf(decode(answer.body)) };
      if (answer.status === 503 && JSON.stringify(decode(answer.body)).includes('no capacity'))
        return { kind: 'no capacity' };
      return { kind: 'unknown', why: `status ${answer.status}` };
    } catch (error) {
      return { kind: 'unknown', why: error instanceof Error ? error.message : 'failed' };
    }
  }

  /** True: they are gone, with everything on them. */
  async scaleIn(names: readonly string[]): Promise<boolean> {
    const body = encode(returnMap(names.slice(0, RETURN_MOST)));
    const answer = await this.http(this.addr, 'POST', CLOUD_PATHS.giveBack, body, this.timeoutMs);
    return answer.status === 200;
  }
}
