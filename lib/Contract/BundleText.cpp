//===-- BundleText.cpp - reads a bundle from YAML ---------------------------===//
//
// The parser walks the YAML tree once and collects all errors with line and column.
// References between items are checked in BundleCheck.cpp.
//
//===----------------------------------------------------------------------===//
#include "laurelcroft/Contract/BundleText.h"

#include "BundleCheck.h"
#include "laurelcroft/Support/Crypto.h"

#include <yaml-cpp/yaml.h>

#include <algorithm>
#include <functional>
#include <set>
#include <sstream>

using namespace laurelcroft;

namespace {

/// Nesting limit that protects the recursive YAML parser. No valid bundle is this deep.
constexpr int maxNestingDepth = 32;

/// Reads the fields of one YAML mapping and collects errors.
class mapping_reader
{
public:
    mapping_reader(const YAML::Node &node, std::string path, bundle_errors &errors)
        : m_node(node)
        , m_path(std::move(path))
        , m_errors(errors)
    {
        m_usable = node.IsMap();
        if (!m_usable)
            addError(node, m_path, "must be a mapping");
    }

    /// Reports fields that were not read. Must be called last.
    void finish()
    {
        if (!m_usable)
            return;
        for (const auto &field : m_node) {
            const std::string name = field.first.as<std::string>("");
            if (m_known.count(name) == 0)
                addError(field.first, pathOf(name), "unknown field");
        }
    }

    template <class T>
    void read(const std::string &name, T &value, bool required)
    {
        const YAML::Node field = find(name, required);
        if (!field)
            return;
        try {
            value = field.as<T>();
        } catch (const YAML::Exception &) {
            addError(field, pathOf(name), "has the wrong type");
        }
    }

    /// Reads a number and checks its range.
    template <class T>
    void readRange(const std::string &name, T &value, T least, T most, bool required)
    {
        read(name, value, required);
        const YAML::Node field = find(name, false);
        if (!field || (value >= least && value <= most))
            return;
        std::ostringstream text;
        text << "must lie in " << least << ".." << most;
        addError(field, pathOf(name), text.str());
    }

    /// Reads a value of an enumeration; \p words[i] is the name of value i.
    template <class E>
    void readEnum(const std::string &name, E &value, const std::vector<std::string> &words)
    {
        const YAML::Node field = find(name, false);
        if (!field)
            return;
        const std::string text = field.as<std::string>("");
        const auto it = std::find(words.begin(), words.end(), text);
        if (it != words.end()) {
            value = static_cast<E>(it - words.begin());
            return;
        }
        std::string all;
        for (const std::string &word : words)
            all += (all.empty() ? "" : ", ") + word;
        addError(field, pathOf(name), "must be one of " + all);
    }

    /// Calls \p each for every item of the sequence \p name.
    void readItems(const std::string &name, bool required,
                   const std::function<void(const YAML::Node &, const std::string &)> &each)
    {
        const YAML::Node field = find(name, required);
        if (!field)
            return;
        if (!field.IsSequence()) {
            addError(field, pathOf(name), "must be a list");
            return;
        }
        for (std::size_t i = 0; i < field.size(); ++i)
            each(field[i], pathOf(name) + "[" + std::to_string(i) + "]");
    }

    /// Reads the optional nested mapping \p name with \p inner.
    void readNested(const std::string &name, const std::function<void(mapping_reader &)> &inner)
    {
        const YAML::Node field = find(name, false);
        if (!field)
            return;
        mapping_reader nested(field, pathOf(name), m_errors);
        inner(nested);
        nested.finish();
    }

private:
    YAML::Node find(const std::string &name, bool required)
    {
        m_known.insert(name);
        if (!m_usable)
            return YAML::Node(YAML::NodeType::Undefined);
        YAML::Node field = m_node[name];
        if (field.IsDefined())
            return field;
        if (required)
            addError(m_node, m_path, "field '" + name + "' is missing");
        return YAML::Node(YAML::NodeType::Undefined);
    }

    std::string pathOf(const std::string &name) const
    {
        return m_path.empty() ? name : m_path + "." + name;
    }

    void addError(const YAML::Node &node, const std::string &path, const std::string &message)
    {
        const YAML::Mark mark = node.Mark();
        m_errors.push_back({mark.line + 1, mark.column + 1, path, message});
    }

    const YAML::Node m_node;
    std::string m_path;
    bundle_errors &m_errors;
    std::set<std::string> m_known;
    bool m_usable = false;
};

constexpr double maxCost = 1e6;
constexpr double maxRate = 1e6;
constexpr std::uint32_t maxCount = 1000000;
constexpr std::uint32_t maxPriority = 9;
constexpr std::uint32_t maxLatencyMs = 3600000;
constexpr std::uint32_t maxConfirmSeconds = 3600;

} // namespace

static model readModel(const YAML::Node &node, const std::string &path, bundle_errors &errors)
{
    model item;
    mapping_reader reader(node, path, errors);
    reader.read("name", item.name, true);
    reader.read("pool", item.pool, true);
    reader.readRange("input_cost", item.inputCost, 0.0, maxCost, true);
    reader.readRange("output_cost", item.outputCost, 0.0, maxCost, true);
    reader.readItems("versions", true, [&](const YAML::Node &child, const std::string &place) {
        model_version version;
        mapping_reader inner(child, place, errors);
        inner.read("name", version.name, true);
        inner.readEnum("state", version.state, {"settled", "rollout", "withdrawn"});
        inner.read("weights", version.weights, false);
        inner.finish();
        item.versions.push_back(version);
    });
    reader.finish();
    return item;
}

static customer readCustomer(const YAML::Node &node, const std::string &path, bundle_errors &errors)
{
    customer item;
    mapping_reader reader(node, path, errors);
    reader.read("name", item.name, true);
    reader.read("key_sha256", item.keySha256, true);
    reader.read("group", item.group, true);
    reader.read("allowed", item.allowed, true);
    reader.readRange("requests_per_second", item.requestsPerSecond, 0.001, maxRate, true);
    reader.readRange<std::uint32_t>("burst", item.burst, 1, maxCount, true);
    reader.readRange<std::uint32_t>("max_concurrent", item.maxConcurrent, 1, maxCount, true);
    reader.readRange<std::uint32_t>("priority", item.priority, 0, maxPriority, false);
    reader.finish();
    return item;
}

static cascade readCascade(const YAML::Node &node, const std::string &path, bundle_errors &errors)
{
    cascade item;
    mapping_reader reader(node, path, errors);
    reader.read("name", item.name, true);
    reader.read("tiers", item.tiers, true);
    reader.readRange("quality_target", item.qualityTarget, 0.0, 1.0, true);
    reader.readRange("start_score", item.startScore, 0.0, 1.0, true);
    reader.readRange<std::uint32_t>("latency_ms", item.latencyMs, 1, maxLatencyMs, true);
    reader.read("repeatable", item.repeatable, false);
    reader.finish();
    return item;
}

static rollout readRollout(const YAML::Node &node, const std::string &path, bundle_errors &errors)
{
    rollout item;
    mapping_reader reader(node, path, errors);
    reader.read("model", item.model, true);
    reader.read("from", item.from, true);
    reader.read("to", item.to, true);
    reader.readRange<std::uint32_t>("share_percent", item.sharePercent, 0, 100, true);
    item.guard = {0.1, 0.001, 30};
    reader.readNested("guard", [&](mapping_reader &guard) {
        guard.readRange("worse_by", item.guard.worseBy, 0.01, 0.9, false);
        guard.readRange("false_stop", item.guard.falseStop, 1e-9, 0.5, false);
        guard.readRange<std::uint32_t>("confirm_seconds", item.guard.confirmSeconds, 1,
                                       maxConfirmSeconds, false);
    });
    reader.finish();
    return item;
}

static service readService(const YAML::Node &node, const std::string &path, bundle_errors &errors)
{
    service item;
    mapping_reader reader(node, path, errors);
    reader.read("name", item.name, true);
    reader.read("pool", item.pool, true);
    reader.read("repeatable", item.repeatable, true);
    reader.readRange("cost", item.cost, 0.0, maxCost, false);
    reader.finish();
    return item;
}

static pool readPool(const YAML::Node &node, const std::string &path, bundle_errors &errors)
{
    pool item;
    mapping_reader reader(node, path, errors);
    reader.read("name", item.name, true);
    reader.readEnum("kind", item.kind, {"engine", "service"});
    reader.read("fenced", item.fenced, false);
    reader.finish();
    return item;
}

template <class T>
static void readList(mapping_reader &reader, const std::string &name, bool required,
                     std::vector<T> &items, bundle_errors &errors,
                     T (*readOne)(const YAML::Node &, const std::string &, bundle_errors &))
{
    reader.readItems(name, required, [&](const YAML::Node &node, const std::string &path) {
        items.push_back(readOne(node, path, errors));
    });
}

/// \returns true if flow collections are nested too deeply. This is checked before the text is
/// parsed because yaml-cpp recurses once for each level.
static bool exceedsMaxNesting(std::string_view text)
{
    int depth = 0;
    for (const char c : text) {
        if (c == '[' || c == '{')
            depth += 1;
        if ((c == ']' || c == '}') && depth > 0)
            depth -= 1;
        if (depth > maxNestingDepth)
            return true;
    }
    return false;
}

static bundle readTree(const YAML::Node &root, bundle_errors &errors)
{
    bundle rules;
    int format = 0;
    mapping_reader reader(root, "", errors);
    reader.readRange("laurelcroft", format, bundleFormat, bundleFormat, true);
    reader.read("site", rules.site, true);
    readList(reader, "pools", true, rules.pools, errors, readPool);
    readList(reader, "models", true, rules.models, errors, readModel);
    readList(reader, "services", false, rules.services, errors, readService);
    readList(reader, "cascades", false, rules.cascades, errors, readCascade);
    readList(reader, "rollouts", false, rules.rollouts, errors, readRollout);
    readList(reader, "customers", true, rules.customers, errors, readCustomer);
    reader.finish();
    return rules;
}

outcome<bundle, bundle_errors> laurelcroft::parseBundle(std::string_view text)
{
    bundle_errors errors;
    if (text.size() > maxBundleBytes)
        return failure(bundle_errors{{1, 1, "", "is larger than 1 MiB"}});
    if (exceedsMaxNesting(text))
        return failure(bundle_errors{{1, 1, "", "is nested too deeply"}});
    YAML::Node root;
    bundle rules;
    try {
        root = YAML::Load(std::string(text));
        rules = readTree(root, errors);
    } catch (const YAML::Exception &error) {
        errors.push_back({error.mark.line + 1, error.mark.column + 1, "", error.msg});
        return failure(errors);
    }
    checkReferences(rules, root, errors);
    if (!errors.empty())
        return failure(errors);
    return rules;
}

std::string laurelcroft::bundleHash(const bundle &rules)
{
    return sha256Hex(canonicalText(rules));
}

std::string laurelcroft::describe(const bundle_errors &errors)
{
    std::string text;
    for (const bundle_error &error : errors) {
        text += std::to_string(error.line) + ":" + std::to_string(error.column) + ": ";
        if (!error.path.empty())
            text += error.path + ": ";
        text += error.message + "\n";
    }
    return text;
}
