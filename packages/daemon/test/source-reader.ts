// Reads the sources of the packages with the compiler's parser, for tests that check sources against documentation
// pages. Tests run from the root of the repository.
import { readdirSync, readFileSync } from 'node:fs';
import { createRequire } from 'node:module';
import { join, sep } from 'node:path';
import type ts from 'typescript';

// Loaded at run time, so that the bundle of the tests does not contain the compiler.
const compiler = createRequire(join(process.cwd(), 'package.json'))('typescript') as typeof ts;

/** A parsed module. */
export interface Source {
  /** Path relative to the root, with slashes. */
  readonly path: string;
  readonly packageName: string;
  readonly tree: ts.SourceFile;
}

/** Parses all modules below `src` of the packages; without names, of all packages. */
export function readSources(...packageNames: string[]): Source[] {
  const names = packageNames.length > 0 ? packageNames : readdirSync('packages');
  return names.flatMap((packageName) =>
    readdirSync(join('packages', packageName, 'src'), { recursive: true, encoding: 'utf8' })
      .filter((file) => file.endsWith('.ts'))
      .sort()
      .map((file) => parse(`packages/${packageName}/src/${file.split(sep).join('/')}`, packageName)),
  );
}

function parse(path: string, packageName: string): Source {
  const tree = compiler.createSourceFile(path, readFileSync(path, 'utf8'), compiler.ScriptTarget.ES2022, true);
  return { path, packageName, tree };
}

function* nodesOf(node: ts.Node): Generator<ts.Node> {
  yield node;
  const children: ts.Node[] = [];
  node.forEachChild((child) => {
    children.push(child);
  });
  for (const child of children) yield* nodesOf(child);
}

// --- log lines -------------------------------------------------------------------------------------------------------

/** Level of a log line. */
export type LogLevel = 'error' | 'info' | 'debug';

/** A message of a log line in the sources. */
export interface LogMessage {
  readonly level: LogLevel;
  /** The text; for a template, the part before its first substitution. */
  readonly text: string;
  readonly isTemplate: boolean;
  readonly location: string;
}

interface LogFunction {
  readonly level: LogLevel;
  readonly messageIndex: number;
}

/** Methods of the log. */
const LOG_METHODS: Readonly<Record<string, LogFunction>> = {
  error: { level: 'error', messageIndex: 1 },
  info: { level: 'info', messageIndex: 1 },
  debug: { level: 'debug', messageIndex: 1 },
};

/** Callbacks that are passed to modules without access to the log, with the level at which they log. */
const LOG_CALLBACKS: Readonly<Record<string, LogFunction>> = {
  log: { level: 'debug', messageIndex: 0 },
  alarm: { level: 'error', messageIndex: 0 },
  logOnce: { level: 'error', messageIndex: 2 },
};

/** Returns the log function that is called, or null if the call is not to one. */
function logFunctionOf({ expression }: ts.CallExpression): LogFunction | null {
  const name = compiler.isPropertyAccessExpression(expression) ? expression.name.text : expression.getText();
  const plainName = name.replace(/^#/, '');
  if (Object.hasOwn(LOG_CALLBACKS, plainName)) return LOG_CALLBACKS[plainName]!;
  const isOfLog =
    compiler.isPropertyAccessExpression(expression) && /(^|[.#])log$/i.test(expression.expression.getText());
  return isOfLog && Object.hasOwn(LOG_METHODS, plainName) ? LOG_METHODS[plainName]! : null;
}

/** Returns the possible messages of an expression. Throws if it is neither literal text nor the parameter `message`. */
function messagesOf(expression: ts.Expression, level: LogLevel, location: string): LogMessage[] {
  if (compiler.isStringLiteralLike(expression)) return [{ level, text: expression.text, isTemplate: false, location }];
  if (compiler.isTemplateExpression(expression))
    return [{ level, text: expression.head.text, isTemplate: true, location }];
  if (compiler.isConditionalExpression(expression))
    return [expression.whenTrue, expression.whenFalse].flatMap((branch) => messagesOf(branch, level, location));
  if (compiler.isIdentifier(expression) && expression.text === 'message') return [];
  throw new Error(`${location}: the message of a log line must be a literal: ${expression.getText()}`);
}

/** Returns all messages that the modules log, including those stored as `{ detail, message }` to be logged later. */
export function logMessagesOf(sources: readonly Source[]): LogMessage[] {
  const messages: LogMessage[] = [];
  for (const { path, tree } of sources) {
    for (const node of nodesOf(tree)) {
      const location = `${path}:${tree.getLineAndCharacterOfPosition(node.getStart()).line + 1}`;
      if (compiler.isCallExpression(node)) {
        const called = logFunctionOf(node);
        const message = called === null ? undefined : node.arguments[called.messageIndex];
        if (called !== null && message !== undefined) messages.push(...messagesOf(message, called.level, location));
      } else if (isDeferredMessage(node)) {
        messages.push(...messagesOf(node.initializer, 'info', location));
      }
    }
  }
  return messages;
}

function isDeferredMessage(node: ts.Node): node is ts.PropertyAssignment {
  if (!compiler.isPropertyAssignment(node) || node.name.getText() !== 'message') return false;
  return node.parent.properties.some((property) => property.name?.getText() === 'detail');
}

// --- names -----------------------------------------------------------------------------------------------------------

/** Returns the field names in the schemas of messages: the keys of the arguments of `Type.Object`. */
export function schemaFieldsOf(sources: readonly Source[]): Set<string> {
  const fields = new Set<string>();
  for (const { tree } of sources) {
    for (const node of nodesOf(tree)) {
      if (!compiler.isCallExpression(node) || node.expression.getText() !== 'Type.Object') continue;
      const [shape] = node.arguments;
      if (shape === undefined || !compiler.isObjectLiteralExpression(shape)) continue;
      for (const { name } of shape.properties) if (name !== undefined) fields.add(textOfName(name));
    }
  }
  return fields;
}

function textOfName(name: ts.PropertyName): string {
  return compiler.isComputedPropertyName(name) ? name.getText() : name.text;
}

/** One use of a name in the sources. */
export interface NameUse {
  readonly name: string;
  /** Whether the name is that of a called method, as in `queue.shift()`. */
  readonly isMethodCall: boolean;
  readonly packageName: string;
  readonly location: string;
}

/** Returns every identifier and every string that names a property. Comments and other strings do not count. */
export function namesUsedIn(sources: readonly Source[]): NameUse[] {
  const uses: NameUse[] = [];
  for (const { path, packageName, tree } of sources) {
    for (const node of nodesOf(tree)) {
      const isName = compiler.isIdentifier(node) || compiler.isPrivateIdentifier(node);
      if (!isName && !isNamingString(node)) continue;
      const location = `${path}:${tree.getLineAndCharacterOfPosition(node.getStart()).line + 1}`;
      uses.push({ name: node.text.replace(/^#/, ''), isMethodCall: isCalledMethod(node), packageName, location });
    }
  }
  return uses;
}

function isCalledMethod(node: ts.Node): boolean {
  const access = node.parent;
  if (!compiler.isPropertyAccessExpression(access) || access.name !== node) return false;
  return compiler.isCallExpression(access.parent) && access.parent.expression === access;
}

function isNamingString(node: ts.Node): node is ts.StringLiteral {
  if (!compiler.isStringLiteral(node)) return false;
  const { parent } = node;
  if (compiler.isElementAccessExpression(parent)) return parent.argumentExpression === node;
  if (compiler.isComputedPropertyName(parent)) return true;
  return (compiler.isPropertyAssignment(parent) || compiler.isPropertySignature(parent)) && parent.name === node;
}
