//===-- Commands.cpp - propose, sign, accept, roll forward, withdraw --------===//
//
// No subcommand changes a running site directly: every change is a signed-off bundle that
// one compare-and-set of the table row puts in force.
//
//===----------------------------------------------------------------------===//
#include "Commands.h"

#include "laurelcroft/Node/Node.h"
#include "laurelcroft/Operator/Edit.h"
#include "laurelcroft/Support/Crypto.h"

#include <array>
#include <cstdio>
#include <fstream>
#include <iterator>

using namespace laurelcroft;

namespace {
constexpr std::size_t operationIdBytes = 16;
constexpr int epochDigits = 12;
} // namespace

report laurelcroft::failedReport(operator_exit exit, std::string line)
{
    report result;
    result.exit = exit;
    result.data["error"] = line;
    result.lines.push_back("error: " + std::move(line));
    return result;
}

static report tableUnreachableReport(const table_error &error)
{
    return failedReport(operator_exit::platformUnreachable, std::string(textOf(error.kind)));
}

static std::optional<std::string> readFile(const std::string &path)
{
    std::ifstream in(path, std::ios::binary);
    if (!in)
        return std::nullopt;
    return std::string(std::istreambuf_iterator<char>(in), {});
}

static outcome<bundle, report> loadBundle(const std::string &path)
{
    const auto text = readFile(path);
    if (!text)
        return failure(failedReport(operator_exit::failed, "cannot read '" + path + "'"));
    auto parsed = parseBundle(*text);
    if (parsed)
        return std::move(parsed).value();
    report result;
    result.exit = operator_exit::invalidBundle;
    result.data["errors"] = nlohmann::ordered_json::array();
    for (const bundle_error &error : parsed.error()) {
        result.lines.push_back(path + ":" + describe({error}));
        result.lines.back().pop_back();
        result.data["errors"].push_back({{"line", error.line},
                                         {"column", error.column},
                                         {"path", error.path},
                                         {"message", error.message}});
    }
    return failure(std::move(result));
}

report laurelcroft::validateCommand(command_context &context)
{
    if (context.arguments.size() != 1)
        return failedReport(operator_exit::usage, "validate takes one file");
    const auto rules = loadBundle(context.arguments[0]);
    if (!rules)
        return rules.error();
    report result;
    result.data["hash"] = bundleHash(rules.value());
    result.lines.push_back("valid, hash " + bundleHash(rules.value()));
    return result;
}

report laurelcroft::diffCommand(command_context &context)
{
    if (context.arguments.size() != 2)
        return failedReport(operator_exit::usage, "diff takes two files");
    const auto before = loadBundle(context.arguments[0]);
    if (!before)
        return before.error();
    const auto after = loadBundle(context.arguments[1]);
    if (!after)
        return after.error();
    report result;
    result.lines = diffBundles(before.value(), after.value());
    result.data["changes"] = result.lines;
    if (result.lines.empty())
        result.lines.push_back("no change");
    return result;
}

report laurelcroft::keygenCommand(command_context &context)
{
    if (context.arguments.size() != 1)
        return failedReport(operator_exit::usage, "keygen takes the file for the secret key");
    if (readFile(context.arguments[0]))
        return failedReport(operator_exit::failed, "'" + context.arguments[0] + "' exists already");
    const signing_key key = makeSigningKey();
    std::ofstream out(context.arguments[0]);
    out << key.secretHex << "\n";
    if (!out)
        return failedReport(operator_exit::failed, "cannot write '" + context.arguments[0] + "'");
    report result;
    result.data["public_key"] = key.publicHex;
    result.lines.push_back("public key " + key.publicHex);
    return result;
}

static std::string proposalKey(const std::string &hash)
{
    return "proposal/" + hash;
}

static std::string signaturePrefix(const std::string &hash)
{
    return "signature/" + hash + "/";
}

static std::string historyKey(bundle_epoch epoch)
{
    std::array<char, 32> digits{};
    std::snprintf(digits.data(), digits.size(), "%0*llu", epochDigits,
                  static_cast<unsigned long long>(epoch));
    return std::string("bundle/history/") + digits.data();
}

/// Stores the text of a bundle and records the proposal in the table.
static report propose(command_context &context, const bundle &rules)
{
    const std::string hash = bundleHash(rules);
    const auto stored = context.platform.putObject(bundleObjectKey(hash), canonicalText(rules));
    if (!stored)
        return failedReport(operator_exit::platformUnreachable,
                            "the object store cannot be reached");
    const nlohmann::ordered_json row = {{"hash", hash},
                                        {"operator", context.options.text("operator")},
                                        {"wall_ms", wallMilliseconds()}};
    const auto noted = context.platform.insert(proposalKey(hash), row.dump());
    if (!noted)
        return tableUnreachableReport(noted.error());
    report result;
    result.data["hash"] = hash;
    result.lines.push_back("proposed " + hash);
    return result;
}

report laurelcroft::proposeCommand(command_context &context)
{
    if (context.arguments.size() != 1)
        return failedReport(operator_exit::usage, "propose takes one file");
    const auto rules = loadBundle(context.arguments[0]);
    return rules ? propose(context, rules.value()) : rules.error();
}

static report sign(command_context &context, const std::string &hash)
{
    const auto secret = readFile(context.options.text("key-file"));
    if (!secret)
        return failedReport(operator_exit::usage, "--key-file: cannot read the secret key");
    const std::string secretHex = secret->substr(0, secret->find('\n'));
    const auto publicHex = publicKeyOf(secretHex);
    const auto signature = signEd25519(secretHex, signedText(hash));
    if (!publicHex || !signature)
        return failedReport(operator_exit::usage, "--key-file: not a valid secret key");
    const auto proposal = context.platform.read(proposalKey(hash));
    if (!proposal)
        return tableUnreachableReport(proposal.error());
    if (!proposal.value())
        return failedReport(operator_exit::failed, "no proposal has this hash");
    const auto noted = context.platform.insert(signaturePrefix(hash) + *publicHex, *signature);
    if (!noted)
        return tableUnreachableReport(noted.error());
    report result;
    result.data["hash"] = hash;
    result.data["key"] = *publicHex;
    result.lines.push_back("signed " + hash + " with key " + *publicHex);
    return result;
}

report laurelcroft::signCommand(command_context &context)
{
    if (context.arguments.size() != 1)
        return failedReport(operator_exit::usage, "sign takes a hash");
    return sign(context, context.arguments[0]);
}

outcome<current_bundle, report> laurelcroft::readCurrent(operator_platform &platform)
{
    current_bundle current;
    const auto row = platform.read(std::string(currentRowKey));
    if (!row)
        return failure(tableUnreachableReport(row.error()));
    if (!row.value())
        return current;
    current.rowVersion = row.value()->version;
    const auto accepted = decodeAcceptance(row.value()->value);
    if (!accepted)
        return failure(failedReport(operator_exit::failed, "the row in force is malformed"));
    current.accepted = *accepted;
    const auto text = platform.getObject(bundleObjectKey(accepted->hash));
    if (!text)
        return failure(failedReport(operator_exit::platformUnreachable,
                                    "the bundle in force cannot be read"));
    auto parsed = parseBundle(text.value());
    if (!parsed)
        return failure(failedReport(operator_exit::failed, "the bundle in force is malformed"));
    current.rules = std::move(parsed).value();
    return current;
}

static report conflictReport(const std::string &storedRow)
{
    const auto winner = decodeAcceptance(storedRow);
    if (!winner)
        return failedReport(operator_exit::conflict, "another operator changed the bundle first");
    report result = failedReport(operator_exit::conflict,
                                 "another operator changed the bundle first: epoch "
                                         + std::to_string(winner->epoch) + " by "
                                         + winner->operatorName + " with hash " + winner->hash);
    result.data["winner"] = {
            {"epoch", winner->epoch}, {"operator", winner->operatorName}, {"hash", winner->hash}};
    return result;
}

/// Writes the row of the bundle in force. If the answer is lost, the row is read again to find
/// out whether the write took effect.
static report replaceCurrent(command_context &context, const acceptance &next,
                             std::uint64_t rowVersion)
{
    const std::string value = encodeAcceptance(next);
    const auto swapped
            = context.platform.compareAndSet(std::string(currentRowKey), rowVersion, value);
    if (!swapped && swapped.error().hadNoEffect())
        return tableUnreachableReport(swapped.error());
    std::string storedRow = swapped ? swapped.value().row.value : std::string();
    if (!swapped) {
        const auto back = context.platform.read(std::string(currentRowKey));
        if (!back)
            return failedReport(operator_exit::platformUnreachable,
                                "the table did not answer: run 'status' to see whether epoch "
                                        + std::to_string(next.epoch) + " is in force");
        storedRow = back.value() ? back.value()->value : std::string();
    }
    const auto winner = decodeAcceptance(storedRow);
    if (!winner || winner->operationId != next.operationId)
        return conflictReport(storedRow);
    report result;
    result.data["epoch"] = next.epoch;
    result.data["hash"] = next.hash;
    result.lines.push_back("epoch " + std::to_string(next.epoch) + " is in force with hash "
                           + next.hash);
    return result;
}

/// Adds an epoch to the history. \returns false if the table did not store the row.
static bool writeHistory(command_context &context, const acceptance &accepted)
{
    const auto noted
            = context.platform.insert(historyKey(accepted.epoch), encodeAcceptance(accepted));
    return noted.has_value();
}

/// \returns a report of how many signatures are missing and how to continue.
static report missingSignaturesReport(const acceptance &next, const signoff_rule &rule,
                                      bundle_epoch base)
{
    report result;
    result.exit = operator_exit::signaturesMissing;
    std::size_t missing = rule.required;
    while (missing > 1 && isSignedOff(next, {rule.trustedKeys, rule.required - missing + 1}))
        missing -= 1;
    result.data["hash"] = next.hash;
    result.data["missing_signatures"] = missing;
    result.lines.push_back(next.hash + " needs " + std::to_string(missing)
                           + " more signature(s); then run: accept " + next.hash + " --base-epoch "
                           + std::to_string(base));
    return result;
}

/// Puts a signed proposal in force as the epoch after \p base.
static report accept(command_context &context, const std::string &hash, const current_bundle &base)
{
    const auto signatures = context.platform.scan(signaturePrefix(hash));
    if (!signatures)
        return tableUnreachableReport(signatures.error());
    acceptance next;
    next.epoch = base.accepted.epoch + 1;
    next.hash = hash;
    next.operationId = randomHex(operationIdBytes);
    next.operatorName = context.options.text("operator");
    for (const new_row &row : signatures.value())
        next.signatures.push_back({row.key.substr(signaturePrefix(hash).size()), row.value});
    const signoff_rule rule{splitList(context.options.text("signoff-keys"), ','),
                            static_cast<std::size_t>(context.options.number("signoff-required"))};
    if (!isSignedOff(next, rule))
        return missingSignaturesReport(next, rule, base.accepted.epoch);
    // Write the history row of the current epoch first, in case it was lost when that epoch was
    // accepted.
    if (base.accepted.epoch > 0 && !writeHistory(context, base.accepted))
        return failedReport(operator_exit::platformUnreachable, "the history cannot be written");
    report result = replaceCurrent(context, next, base.rowVersion);
    if (result.exit == operator_exit::done && !writeHistory(context, next))
        result.lines.push_back(
                "the history could not be written; the next acceptance adds this epoch");
    return result;
}

report laurelcroft::acceptCommand(command_context &context)
{
    if (context.arguments.size() != 1)
        return failedReport(operator_exit::usage, "accept takes a hash");
    const auto base = readCurrent(context.platform);
    if (!base)
        return base.error();
    const std::string &wanted = context.options.text("base-epoch");
    if (!wanted.empty() && wanted != std::to_string(base.value().accepted.epoch))
        return conflictReport(encodeAcceptance(base.value().accepted));
    return accept(context, context.arguments[0], base.value());
}

/// Proposes, signs and accepts an edited bundle.
static report applyEdit(command_context &context, const current_bundle &base,
                        const outcome<bundle, std::string> &edited)
{
    if (!edited)
        return failedReport(operator_exit::failed, edited.error());
    const auto checked = parseBundle(canonicalText(edited.value()));
    if (!checked)
        return failedReport(operator_exit::invalidBundle, describe(checked.error()));
    const std::string hash = bundleHash(edited.value());
    report result = propose(context, edited.value());
    if (result.exit != operator_exit::done)
        return result;
    result = sign(context, hash);
    if (result.exit != operator_exit::done)
        return result;
    result = accept(context, hash, base);
    std::vector<std::string> changes = diffBundles(base.rules, edited.value());
    result.data["changes"] = changes;
    result.lines.insert(result.lines.end(), changes.begin(), changes.end());
    return result;
}

report laurelcroft::rollForwardCommand(command_context &context)
{
    if (context.arguments.size() != 2)
        return failedReport(operator_exit::usage, "roll-forward takes a model and a share in %");
    const auto base = readCurrent(context.platform);
    if (!base)
        return base.error();
    char *end = nullptr;
    const unsigned long share = std::strtoul(context.arguments[1].c_str(), &end, 10);
    if (*end != '\0' || context.arguments[1].empty() || share > 100)
        return failedReport(operator_exit::usage, "the share must be a number in 0..100");
    return applyEdit(context, base.value(),
                     rollForward(base.value().rules, context.arguments[0],
                                 static_cast<std::uint32_t>(share)));
}

report laurelcroft::withdrawCommand(command_context &context)
{
    const std::size_t at
            = context.arguments.empty() ? std::string::npos : context.arguments[0].find('@');
    if (context.arguments.size() != 1 || at == std::string::npos)
        return failedReport(operator_exit::usage, "withdraw takes model@version");
    const auto base = readCurrent(context.platform);
    if (!base)
        return base.error();
    return applyEdit(context, base.value(),
                     withdrawVersion(base.value().rules, context.arguments[0].substr(0, at),
                                     context.arguments[0].substr(at + 1)));
}
