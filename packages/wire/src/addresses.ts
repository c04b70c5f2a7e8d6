// Addresses of machines, checked and written in one way.
import ipaddr from 'ipaddr.js';

/**
 * The IP address in `HOST:PORT` as the platform writes addresses, in its one canonical form: IPv4 addresses that are mapped into IPv6 as IPv4,
 * IPv6 addresses in lower case and as short as they get. Null: it has none.
 */
export function hostOf(address: string): string | null {
  const colon = address.lastIndexOf(':');
  if (colon < 0 || !/^\d{1,5}$/.test(address.slice(colon + 1))) return null;
  const host = address.slice(0, colon).replace(/^\[(.*)\]$/, '$1');
  // Short and octal forms of IPv4 are read in different ways by different programs.
  const isPlain = ipaddr.IPv4.isValidFourPartDecimal(host) || ipaddr.IPv6.isValid(host);
  return isPlain ? ipaddr.process(host).toString() : null;
}
