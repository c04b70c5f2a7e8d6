// The client of the cloud's API (PROTOCOL, "Controller nodes -> cloud").
import {
  CLOUD_PATHS,
  type CloudMachine,
  encode,
  errorMessage,
  GingerlockError,
  machineListOf,
  MalformedMessageError,
  type MachineTypeList,
  readMachineTypes,
  rentedNamesOf,
  rentRequestMap,
  type RentRequest,
  MAX_MACHINES_PER_RETURN,
  returnRequestMap,
} from '@gingerlock/wire';
import { readAnswer } from './answers';
import { type Http, MAX_LIST_BYTES } from './ports';

/** Whether the body of a refusal says that there is no capacity. */
function isNoCapacity(refusal: unknown): boolean {
  return JSON.stringify(refusal).includes('no capacity');
}

/** The outcome of a rental request. */
export type RentResult =
  | { readonly kind: 'rented'; readonly names: string[] }
  | { readonly kind: 'no capacity' }
  /** The request may have been executed. Repeating it with the same request id does not rent machines twice. */
  | { readonly kind: 'unknown'; readonly why: string };

/** The cloud answered a request with a status other than 200. */
export class CloudRequestError extends GingerlockError {
  override readonly name = 'CloudRequestError';
  override readonly code = 'CLOUD_REQUEST_FAILED';

  /**
   * @param request method and path of the request
   * @param status the status of the response
   */
  constructor(
    request: string,
    readonly status: number,
  ) {
    super(`cloud: ${request}: status ${status}, expected 200`);
  }
}

/**
 * Client of the cloud's API. Methods that read throw `NoResponseError`, `CloudRequestError` or `MalformedMessageError`.
 */
export class Cloud {
  /**
   * @param addr `HOST:PORT` of the cloud's API
   * @param timeoutMs time limit of each request
   */
  constructor(
    readonly http: Http,
    readonly addr: string,
    readonly timeoutMs: number,
  ) {}

  /** Sends a GET request and returns what `read` returns for its body. Throws if the status is not 200. */
  async #get<T>(path: string, read: (value: unknown) => T): Promise<T> {
    const response = await this.http(this.addr, 'GET', path, null, this.timeoutMs, MAX_LIST_BYTES);
    if (response.status !== 200) throw new CloudRequestError(`GET ${path}`, response.status);
    return readAnswer(`GET cloud ${path}`, response, read);
  }

  /** The machine types that the cloud offers, at their current prices. */
  async types(): Promise<MachineTypeList> {
    return this.#get(CLOUD_PATHS.types, readMachineTypes);
  }

  /** Reads all pages of the list of rented machines. The list may be stale by up to `cloud.list_lag_s` (settings). */
  async list(): Promise<CloudMachine[]> {
    const machines: CloudMachine[] = [];
    for (let after = '', more = true; more;) {
      const page = await this.#get(CLOUD_PATHS.list(after), machineListOf);
      if (after !== '' && page.machines.at(-1)?.name === after)
        throw new MalformedMessageError('rigs', 'a page does not go on from the one before');
      machines.push(...page.machines);
      after = page.machines.at(-1)?.name ?? after;
      more = page.more && page.machines.length > 0;
    }
    return machines;
  }

  /**
   * Rents machines. Never rejects: if the outcome is unknown, the result says so, and the caller repeats the request.
   */
  async rent(request: RentRequest): Promise<RentResult> {
    try {
      const response = await this.http(
        this.addr,
        'POST',
        CLOUD_PATHS.rent,
        encode(rentRequestMap(request)),
        this.timeoutMs,
      );
      if (response.status === 200)
        return { kind: 'rented', names: readAnswer('POST cloud rental', response, rentedNamesOf) };
      if (response.status === 503 && readAnswer('POST cloud rental', response, isNoCapacity))
        return { kind: 'no capacity' };
      return { kind: 'unknown', why: `status ${response.status}` };
    } catch (error) {
      return { kind: 'unknown', why: errorMessage(error, 'failed') };
    }
  }

  /**
   * Returns at most the first `MAX_MACHINES_PER_RETURN` machines to the cloud. Resolves with true if the cloud has
   * removed them and everything on them.
   */
  async scaleIn(names: readonly string[]): Promise<boolean> {
    const body = encode(returnRequestMap(names.slice(0, MAX_MACHINES_PER_RETURN)));
    const response = await this.http(this.addr, 'POST', CLOUD_PATHS.return, body, this.timeoutMs);
    return response.status === 200;
  }
}
