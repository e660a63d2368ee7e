//===-- Entry/SessionPinner.h - pins sessions to versions -------*- C++ -*-===//
//
// Determines the model versions that a session uses: from its token, from the stored pins of a
// session that the caller named, or by choosing a version for a new session.
//
//===----------------------------------------------------------------------===//
#ifndef LAURELCROFT_ENTRY_SESSIONPINNER_H
#define LAURELCROFT_ENTRY_SESSIONPINNER_H

#include "laurelcroft/Entry/CallerRequest.h"
#include "laurelcroft/Entry/SessionToken.h"
#include "laurelcroft/Ledger/Bill.h"
#include "laurelcroft/Platform/Table.h"
#include "laurelcroft/Policy/VersionChoice.h"

#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace laurelcroft {

/// Input of a pinning operation.
struct pin_request
{
    std::shared_ptr<const bundle> rules;
    std::string customer;
    std::string sessionText; ///< session token or caller-chosen name; empty for a new session
    std::vector<std::string> models;
    std::string requestedVersion; ///< empty if any allowed version will do
    std::int64_t nowWallMs = 0;
    /// Returns the state of a model's roll-out that is not part of the bundle.
    std::function<version_knowledge(const std::string &model)> knowledge;
};

/// A session with its pinned versions.
struct pinned_session
{
    session item;
    std::string token; ///< empty if the caller named the session
    std::string reason; ///< why the model pinned last has its version
    bool isNew = false; ///< created by this request
};

using pin_callback = std::function<void(outcome<pinned_session, caller_error>)>;

/// \returns the error for a version that may not be used; it states that the request did not run.
caller_error versionError(version_refusal refusal, const std::string &model,
                          const std::string &version);

/// Pins the sessions of one entry to versions.
template <table_like Table>
class session_pinner
{
public:
    /// \param lifetimeMs lifetime of a token since its last use, in milliseconds.
    session_pinner(Table &table, random_source &random, session_token_codec tokenCodec,
                   std::int64_t lifetimeMs)
        : m_table(table)
        , m_random(random)
        , m_tokenCodec(std::move(tokenCodec))
        , m_lifetimeMs(lifetimeMs)
    {
    }

    /// Pins the models of \p request. Calls \p done with the session or the error, possibly before
    /// returning.
    void pin(const pin_request &request, const pin_callback &done)
    {
        const bool isToken = request.sessionText.rfind(sessionTokenPrefix, 0) == 0;
        if (request.sessionText.empty() || isToken)
            pinByToken(request, done);
        else
            pinNamed(std::make_shared<pin_request>(request), std::make_shared<pinned_session>(), 0,
                     done);
    }

private:
    void pinByToken(const pin_request &request, const pin_callback &done)
    {
        pinned_session result;
        result.isNew = request.sessionText.empty();
        if (result.isNew) {
            result.item.id = newSessionId();
            result.item.customer = request.customer;
        } else {
            auto decoded = m_tokenCodec.decode(request.sessionText, request.nowWallMs);
            if (!decoded) {
                done(failure(tokenError(decoded.error())));
                return;
            }
            result.item = std::move(decoded).value();
            if (result.item.customer != request.customer) {
                done(failure(sessionOfOtherCustomer()));
                return;
            }
        }
        for (const std::string &model : request.models) {
            const auto error = pinModel(request, model, result);
            if (error) {
                done(failure(*error));
                return;
            }
        }
        finish(request, result, done);
    }

    /// Pins \p model in \p result. An existing pin is checked and kept.
    std::optional<caller_error> pinModel(const pin_request &request, const std::string &model,
                                         pinned_session &result)
    {
        const customer &who = *request.rules->findCustomer(request.customer);
        const auto pinned = result.item.pins.find(model);
        if (pinned != result.item.pins.end()) {
            const auto checked = checkVersion(*request.rules, who, model, pinned->second);
            if (!checked)
                return versionError(checked.error(), model, pinned->second);
            if (!request.requestedVersion.empty() && pinned->second != request.requestedVersion)
                return sessionVersionConflict(pinned->second);
            result.reason = "the session holds it";
            return std::nullopt;
        }
        const auto choice = chooseVersion(*request.rules, who, model, request.requestedVersion,
                                          request.knowledge(model), m_random);
        if (!choice)
            return versionError(choice.error(), model, request.requestedVersion);
        result.item.pins[model] = choice.value().version;
        result.reason = textOf(choice.value().reason);
        return std::nullopt;
    }

    /// Pins the models of a session that the caller named, starting at index \p next. Reads or
    /// inserts one table row per model unless its pin is cached.
    void pinNamed(const std::shared_ptr<pin_request> &request,
                  const std::shared_ptr<pinned_session> &result, std::size_t next,
                  const pin_callback &done)
    {
        result->item.id = request->sessionText;
        result->item.customer = request->customer;
        if (next == request->models.size()) {
            done(*result);
            return;
        }
        const std::string &model = request->models[next];
        const std::string key = sessionKey(request->customer, request->sessionText, model);
        const auto known = m_namedPins.find(key);
        if (known != m_namedPins.end()) {
            applyNamedPin(request, result, next, known->second, done);
            return;
        }
        const customer &who = *request->rules->findCustomer(request->customer);
        const auto choice = chooseVersion(*request->rules, who, model, request->requestedVersion,
                                          request->knowledge(model), m_random);
        // Even if no version can be chosen now, the session may have one in its row.
        if (!choice) {
            m_table.read(key,
                         [this, request, result, next, key, done, refusal = choice.error()](
                                 outcome<std::optional<table_row>, table_error> row) {
                             if (!row)
                                 done(failure(tableError(row.error())));
                             else if (!row.value())
                                 done(failure(versionError(refusal, request->models[next],
                                                           request->requestedVersion)));
                             else
                                 cacheNamedPin(key, row.value()->value, request, result, next,
                                               done);
                         });
            return;
        }
        result->reason = textOf(choice.value().reason);
        insertResolved(
                m_table, key, choice.value().version,
                [this, request, result, next, key, done,
                 chosenVersion = choice.value().version](outcome<write_result, table_error> row) {
                    if (!row)
                        done(failure(tableError(row.error())));
                    else
                        onRowInserted(key, chosenVersion, row.value(), request, result, next, done);
                });
    }

    /// Handles the result of inserting a pin.
    /// \param chosenVersion the version to be pinned; if the row exists, its version is used
    /// instead.
    void onRowInserted(const std::string &key, const std::string &chosenVersion,
                       const write_result &row, const std::shared_ptr<pin_request> &request,
                       const std::shared_ptr<pinned_session> &result, std::size_t next,
                       const pin_callback &done)
    {
        if (!row.done)
            result->reason.clear();
        cacheNamedPin(key, row.done ? chosenVersion : row.row.value, request, result, next, done);
    }

    /// Caches a pin read from the table. Pins never change once inserted.
    void cacheNamedPin(const std::string &key, const std::string &version,
                       const std::shared_ptr<pin_request> &request,
                       const std::shared_ptr<pinned_session> &result, std::size_t next,
                       const pin_callback &done)
    {
        if (m_namedPins.size() >= maxCachedPins)
            m_namedPins.erase(m_namedPins.begin());
        m_namedPins[key] = version;
        applyNamedPin(request, result, next, version, done);
    }

    /// Applies a stored pin to the session and continues with the next model.
    void applyNamedPin(const std::shared_ptr<pin_request> &request,
                       const std::shared_ptr<pinned_session> &result, std::size_t next,
                       const std::string &version, const pin_callback &done)
    {
        const std::string &model = request->models[next];
        result->item.pins[model] = version;
        const std::string decided = result->reason;
        const auto error = pinModel(*request, model, *result);
        // If this call chose the version, its reason replaces the one for an existing pin.
        if (!decided.empty())
            result->reason = decided;
        if (error)
            done(failure(*error));
        else
            pinNamed(request, result, next + 1, done);
    }

    /// Renews the token and returns the session.
    void finish(const pin_request &request, pinned_session &result, const pin_callback &done)
    {
        result.item.expiresWallMs = request.nowWallMs + m_lifetimeMs;
        result.token = m_tokenCodec.encode(result.item);
        done(result);
    }

    std::string newSessionId() { return std::to_string(m_random.bits()); }

    static caller_error tokenError(session_error error)
    {
        const bool expired = error == session_error::expired || error == session_error::unknownKey;
        return {expired ? http_status::gone : http_status::badRequest,
                "session_error",
                expired ? "session_expired" : "session_invalid",
                std::string(textOf(error)) + "; begin a new session without the header",
                executed::no,
                milliseconds(0)};
    }

    static caller_error sessionOfOtherCustomer()
    {
        return {http_status::forbidden, "session_error",
                "session_not_yours",    "the session belongs to another customer",
                executed::no,           milliseconds(0)};
    }

    static caller_error sessionVersionConflict(const std::string &pinned)
    {
        return {http_status::conflict,
                "session_error",
                "session_holds_other_version",
                "the session holds version " + pinned + "; begin a new session for another one",
                executed::no,
                milliseconds(0)};
    }

    static caller_error tableError(const table_error &error)
    {
        return {http_status::unavailable,
                "unavailable",
                "session_unavailable",
                "the version that this named session holds cannot be read now",
                executed::no,
                std::max(error.retryAfter, minRetryAfter)};
    }

    static constexpr milliseconds minRetryAfter{250};
    static constexpr std::size_t maxCachedPins = 50000;

    Table &m_table;
    random_source &m_random;
    session_token_codec m_tokenCodec;
    std::int64_t m_lifetimeMs;
    std::unordered_map<std::string, std::string> m_namedPins; ///< version by row key
};

} // namespace laurelcroft

#endif
