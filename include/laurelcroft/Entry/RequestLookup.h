//===-- Entry/RequestLookup.h - status of a request -------------*- C++ -*-===//
//
// Answers a caller's query for the status of a request. The status comes from the request's claim,
// or from its bill if it has no claim.
//
//===----------------------------------------------------------------------===//
#ifndef LAURELCROFT_ENTRY_REQUESTLOOKUP_H
#define LAURELCROFT_ENTRY_REQUESTLOOKUP_H

#include "laurelcroft/Entry/EntryErrors.h"
#include "laurelcroft/Entry/RequestFlow.h"
#include "laurelcroft/Ledger/ClaimRegistry.h"

#include <functional>
#include <optional>
#include <string>

namespace laurelcroft {

/// Answers status queries at one entry.
template <table_like Table, class Claims, class Env>
class request_lookup
{
public:
    request_lookup(Table &table, Claims &claims, Env &env)
        : m_table(table)
        , m_claims(claims)
        , m_env(env)
    {
    }

    /// Finds the request that \p request names and sends its status.
    /// \param isRunning returns true if the request with the given id is running at this entry.
    void find(const status_request &request, const std::string &customerName,
              const std::function<bool(const std::string &)> &isRunning)
    {
        // The caller may use its idempotency key or the request id that an entry returned.
        const std::string derived = keyedRequestId(customerName, request.requestId);
        const std::string id = isRunning(derived) || !isRequestId(request.requestId)
                ? derived
                : request.requestId;
        if (isRunning(id)) {
            m_env.answer(request.id, statusAnswer(id, "running", nullptr));
            return;
        }
        m_claims.find(id,
                      [this, caller = request.id, id,
                       customerName](outcome<std::optional<claim>, table_error> found) {
                          if (!found)
                              m_env.answer(caller, errorAnswer(tableUnavailable(found.error())));
                          else if (found.value() && found.value()->customer == customerName)
                              m_env.answer(caller,
                                           statusAnswer(id, claimStateText(*found.value()),
                                                        &*found.value()));
                          else
                              findBill(caller, id, customerName);
                      });
    }

private:
    void findBill(caller_id caller, const std::string &id, const std::string &customerName)
    {
        m_table.read(billKey(id),
                     [this, caller, id,
                      customerName](outcome<std::optional<table_row>, table_error> row) {
                         if (!row) {
                             m_env.answer(caller, errorAnswer(tableUnavailable(row.error())));
                             return;
                         }
                         const auto found
                                 = row.value() ? decodeBill(row.value()->value) : std::nullopt;
                         if (found && found->customer() == customerName)
                             m_env.answer(caller, statusAnswer(id, found->outcome(), nullptr));
                         else
                             m_env.answer(caller, errorAnswer(unknownRequest()));
                     });
    }

    Table &m_table;
    Claims &m_claims;
    Env &m_env;
};

} // namespace laurelcroft

#endif
