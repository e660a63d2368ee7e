//===-- Proxy/StoreSync.h - routing state from a store ----------*- C++ -*-===//
//
// Updates the contract, the endpoints and the roll-outs of an entry from the rows of a store, and
// writes the steps of roll-outs. Holds no state that is not in the store: a new process reads all
// of it again.
//
//===----------------------------------------------------------------------===//
#ifndef LAURELCROFT_PROXY_STORESYNC_H
#define LAURELCROFT_PROXY_STORESYNC_H

#include "laurelcroft/Platform/RowFollower.h"
#include "laurelcroft/Proxy/CarriedRows.h"
#include "laurelcroft/Proxy/EntryAnnouncement.h"
#include "laurelcroft/Proxy/EntryRegistry.h"
#include "laurelcroft/Proxy/EvidenceNotice.h"
#include "laurelcroft/Proxy/RolloutRows.h"
#include "laurelcroft/Proxy/RoutingState.h"
#include "laurelcroft/Proxy/RowMirror.h"
#include "laurelcroft/Proxy/RowTimings.h"
#include "laurelcroft/Proxy/StoreClock.h"
#include "laurelcroft/Support/Log.h"
#include "laurelcroft/Support/LogLimiter.h"
#include "laurelcroft/Support/Metrics.h"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace laurelcroft {

/// A decoded value, or an error message.
template <class T>
using decoded = outcome<T, std::string>;

/// Encodes and decodes rows. The functions have no state.
struct row_codec
{
    std::string operatorTable; ///< holds the contract and the orders
    std::string endpointTable;
    std::string statusTable; ///< holds the status rows for operators
    /// \returns true when the operator row of this key holds the contract.
    std::function<bool(std::string_view key)> isContract;
    /// \returns the service for which the operator row of this key orders a roll-out.
    std::function<std::optional<std::string>(std::string_view key)> orderedService;
    /// \returns the data centre that the operator row of this key evacuates.
    std::function<std::optional<std::string>(std::string_view key)> evacuatedDataCentre;
    std::function<decoded<service_contract>(const std::string &value)> decodeContract;
    std::function<decoded<endpoint_record>(const std::string &key, const std::string &value)>
            decodeEndpoint;
    std::function<decoded<rollout_order>(const std::string &value)> decodeOrder;
    /// \returns the status row that shows operators the stage of a roll-out.
    std::function<row_write(const rollout_order &order, rollout_stage stage)> encodeStatus;
};

/// Identity of an entry and its connections to other entries.
struct entry_links
{
    std::string entry; ///< name of this entry
    entry_info place; ///< address and state written to this entry's row
    row_relay relay; ///< reads rows from other entries
    row_timings timings{milliseconds(2000)};
    /// The whole system starts for the first time, so no callers are waiting for an entry yet.
    bool isFirstStart = false;
    std::function<void(const entry_map &entries)> onEntries;
    std::function<void()> onContract; ///< called when another contract is in force
    /// Sends this entry's evidence about a version under roll-out to the entries that read the
    /// store.
    /// \returns false when it could not be sent to all of them. May be empty.
    std::function<bool(const evidence_notice &notice)> sendEvidenceToReaders;
};

/// Keeps the routing state of one entry up to date with the store.
template <row_store_like Store, runtime_like Runtime>
class store_sync
{
public:
    /// Minimum time between two reads of the operator table and of the internal table.
    static constexpr milliseconds operatorReadInterval{20};
    static constexpr milliseconds internalReadInterval{300};
    /// How long to wait for a first peer before the internal table is read from the store. The
    /// table is small and tells which entries read the store for the others. When all entries are
    /// restarted together the first peers may come up last: when they came 400 ms later, 237
    /// callers of 103 entries were refused in that time.
    static constexpr milliseconds internalFirstWait{60};
    /// The same at the first start of the whole system. By then the first peers have the rows that
    /// all entries need, which saves one store call per entry.
    static constexpr milliseconds internalFirstWaitAtFirstStart{1000};
    /// How often roll-outs are checked. Each entry writes a due step with probability \c
    /// stepChance, so that two entries seldom write at once.
    static constexpr milliseconds stepInterval{200};
    static constexpr double stepChance = 0.5;
    /// Mean number of entries that write in the same check when there are many. Only one of the
    /// first steps of a roll-out takes effect; the others are wasted calls, 50 of them with 103
    /// entries. Evidence rows are for readers that datagrams cannot reach: 78 were written in the
    /// two seconds in which all sessions had moved to a good version.
    static constexpr double meanConcurrentWriters = 4;
    /// Minimum time between two writes of this entry's row: enough for the row to come back by the
    /// feed, or for a hanging call to end.
    static constexpr milliseconds ownRowWriteInterval{2500};
    /// How long an entry that reads from others waits for one of them to write its row, and how
    /// long the other collects announcements before it writes their rows.
    static constexpr milliseconds listedByOthersTimeout{1200};
    static constexpr milliseconds announcementBatchDelay{150};
    /// Time between two announcements of this entry; a written row comes back within it.
    static constexpr milliseconds announcementInterval{700};
    /// Maximum number of rows per write: the store accepts a hundred rows in a transaction.
    static constexpr std::size_t maxAnnouncedRows = 90;
    /// Delay after lost rows were written, in which they come back by the feed.
    static constexpr milliseconds lostRowsRetryDelay{400};
    /// Delay after a failed write.
    static constexpr milliseconds writeRetryDelay{1000};
    /// An endpoint whose cold period ends this much later than was known has become cold again.
    /// Smaller differences come from the transit time of its row.
    static constexpr milliseconds coldChangeThreshold{500};
    /// Maximum log lines per second about single endpoints. Every entry reads every endpoint's row,
    /// so a start or replacement of many endpoints would log entries times endpoints lines across a
    /// fleet.
    static constexpr double maxEndpointLinesPerSecond = 20;
    /// Maximum number of refused endpoint records whose error is remembered, so that each is logged
    /// once.
    static constexpr std::size_t maxRefusedRecords = 1000;
    /// Minimum time between two evidence rows. A row is written only when it reports more bad
    /// answers.
    static constexpr milliseconds evidenceRowInterval{500};
    /// Minimum time between two evidence datagrams, which report good answers as well.
    static constexpr milliseconds evidenceNoticeInterval{500};

    /// A roll-out advances only if the rows of other entries were read within \c maxEvidenceAge (a
    /// held call and its answer), and reads have not failed for \c evidenceSettleTime, in which an
    /// entry that could not write before has written (a hanging call, a delay, and another call).
    static constexpr milliseconds maxEvidenceAge{2500};
    static constexpr milliseconds evidenceSettleTime{2500};

    /// How long a row may be missing after the store came back from a copy. Its owner writes it
    /// again within about two seconds.
    static constexpr milliseconds rewriteGrace{2200};

    store_sync(Store &store, Runtime &runtime, routing_state &state, row_mirror &mirror,
               metric_registry &metrics, row_codec codec, entry_links links);

    void start();

    /// \returns the announcement that asks another entry to list this one, at most once per \c
    /// announcementInterval and only while this entry is not listed. If several entries were asked,
    /// each would write the row.
    std::optional<entry_announcement> nextAnnouncement();

    /// Handles another entry's request to be listed.
    void takeAnnouncement(const entry_announcement &announcement);

    /// \returns the time since the start of 1970, the same at all entries; nothing before the
    /// store's clock and the entries' rows are known.
    std::optional<milliseconds> trueTime();

    /// Handles evidence that another entry sent by datagram.
    void takeEvidence(const evidence_notice &notice);

private:
    using follower = row_follower<Store, Runtime>;

    follow_pace endpointPace() const;
    follow_pace heldPace(milliseconds between) const;
    std::unique_ptr<follower> follow(const std::string &table, follow_pace pace);
    /// Applies an update of \p table, and passes it on by the mirror unless it came from there.
    void takeUpdate(const std::string &table, row_update update);
    /// Passes the rows that are left in an applied update on to other entries, but for the carried
    /// ones, which are of an earlier era.
    void passOn(const std::string &table, row_update update, time_point confirmedAt);
    /// Applies an update with the rows that are missing since the store came back from a copy.
    void apply(const std::string &table, row_update &update);
    /// \returns true when \p version is the first of \p table since the store came back.
    bool noteEra(const std::string &table, store_version version);
    /// Keeps the rows that are missing in \p batch, the first whole table since the store came
    /// back.
    void carryRows(const std::string &table, const row_batch &batch);
    /// Removes the carried rows that were not written again in time.
    void removeExpiredRows();
    /// Writes the rows of the internal table that are missing since the store came back.
    /// \returns true when a write was started.
    bool writeLostRows();
    /// \returns the version that \p row of the internal table has in the store; unknownVersion when
    /// the row is missing there.
    store_version versionInStore(const store_row &row) const;
    /// \returns \p orderedAt in the era of the order of \p service, if an earlier release wrote it
    /// without one.
    store_version withEra(store_version orderedAt, const std::string &service) const;
    /// \returns true when \p row comes from a copy and is older than the order that is known here.
    bool isOlderOrder(const std::string &service, const rollout_order &order) const;
    /// Applies the held orders that the operator has not written again in time.
    void takeHeldOrders();
    void applyOperator(row_update &update);
    /// Removes from \p update the rows that are only heartbeats.
    void applyEndpoints(row_update &update);
    void applyEndpointTable(row_batch &batch);
    /// \returns removal rows for the known endpoints that are not in \p batch.
    std::vector<store_row> removalsOfMissingEndpoints(const row_batch &batch) const;
    bool takeEndpointRow(const store_row &row);
    std::optional<endpoint_record> endpointIn(const store_row &row);
    bool takeEndpoint(endpoint_record &&record);
    /// \returns true when the contract in force names \p service, or no services are known.
    bool isNamed(const std::string &service) const;
    void logEndpoint(const char *what, const endpoint_record &record);
    /// Updates the directory on how recent the known endpoint rows are, and logs when they become
    /// outdated or current again.
    void noteEndpointRowsAge();
    /// Logs how many log lines about endpoints were omitted.
    void logOmittedEndpointLines();
    /// \returns true when an endpoint has become cold or is no longer cold, and logs it.
    bool hasColdStateChanged(const endpoint_record &record, const service_endpoint &known);
    void applyInternal(row_update &update);
    void takeContract(const store_row &row);
    void takeOrder(const std::string &service, const store_row &row);
    void setEvacuated(std::set<std::string> dataCentres, store_version version);
    /// Treats removals as uncertain for a while: an endpoint's row may have expired because the
    /// store was unavailable, not because the endpoint is gone.
    void deferRemovals(row_failure why);
    void noteTime(const row_batch &batch);
    milliseconds storeNow();
    void maintainEntryRows();
    /// \returns true while the entries that this one reads from still have time to write its row.
    bool isAwaitingListing();
    /// \returns the row that lists \p entry.
    /// \param wallTime wall-clock time of the entry.
    row_write entryRow(const std::string &entry, entry_info place, milliseconds wallTime);
    void writeOwnRow();
    void writeAnnouncedRows();
    void removeExpiredEntry(const listed_entry &entry);
    /// \returns true when the evidence of other entries is up to date: this entry reads the store
    /// itself, so the others send it all of theirs.
    bool isPeerEvidenceCurrent();
    void runChecks();
    /// \returns true when this entry writes a due step in this check.
    bool mayWriteStepNow(const rollout_row &next, bool knowsOthers);
    /// \returns true with a probability that lets \c meanConcurrentWriters entries write on
    /// average.
    bool isSampledWriter();
    void sendEvidence(const std::string &service, const rollout_tracker &tracker);
    void writeStep(const std::string &service, const rollout_order &order, const rollout_row &row);
    bool writeEvidence(const std::string &service, const rollout_tracker &tracker);
    void takeInternalRow(const store_row &row);
    void takeWithheldRow(request_key key, const store_row &row);
    /// Releases the withheld requests whose rows are not in \p rows, which is the whole table.
    void retainWithheld(const std::vector<store_row> &rows);
    /// Writes the row of the next finding on a request.
    /// \returns true when a write was started.
    bool writeFinding();
    /// \returns true when the row of \p key in \p current includes everything that is known here.
    bool isCoveredByRow(request_key key, const std::vector<table_entry> &current);
    /// Removes the row of a request that is no longer withheld, with a probability that spreads
    /// this work over the entries.
    void removeStaleFinding();

    Store &m_store;
    Runtime &m_runtime;
    routing_state &m_state;
    row_mirror &m_mirror;
    metric_registry &m_metrics;
    row_codec m_codec;
    entry_links m_links;
    std::map<std::string, std::unique_ptr<follower>> m_followers; ///< keyed by table
    std::map<std::string, store_version> m_appliedVersions; ///< latest ones, keyed by table
    std::map<std::string, carried_rows> m_carried; ///< keyed by table
    /// Version of the first operator table since the store came back from a copy.
    store_version m_operatorReturnVersion;
    time_point m_ordersHeldUntil{};
    std::map<std::string, store_row> m_heldOrders; ///< older than the known ones, by service
    std::map<std::string, std::string> m_refused; ///< errors of refused endpoint records, by key
    std::map<std::string, store_version> m_rowVersions; ///< versions of roll-out rows, by service
    entry_registry m_roster;
    /// A withheld request's row in the store.
    struct finding_row
    {
        store_version version{};
        milliseconds until{0}; ///< time on the store's clock
    };
    std::map<request_key, finding_row> m_findingRows;
    /// Last evidence written as a row, by service.
    std::map<std::string, rollout_evidence> m_writtenEvidence;
    /// Last evidence sent by datagram, by service.
    std::map<std::string, rollout_evidence> m_sentEvidence;
    /// Distinguishes this process's evidence from that of earlier processes.
    std::uint64_t m_incarnation;
    time_point m_nextNoticeAt{};
    bool m_internalTableRead = false;
    bool m_endpointsRead = false;
    bool m_areEndpointRowsCurrent = true;
    log_limiter m_endpointLines{maxEndpointLinesPerSecond};
    time_point m_nextOmittedLineAt{};
    bool m_isWriting = false;
    time_point m_nextOwnRowWriteAt{};
    std::optional<time_point> m_unlistedSince;
    time_point m_nextAnnouncementAt{};
    struct received_announcement
    {
        entry_announcement what;
        time_point at{};
    };
    std::map<std::string, received_announcement>
            m_receivedAnnouncements; ///< keyed by entry; entries not listed yet
    std::optional<milliseconds> m_wallClockOffset; ///< as computed by the roster
    bool m_isBatchPending = false;
    time_point m_evidenceWrittenAt{};
    time_point m_nextWriteAt{};
    store_clock m_clock;
};

} // namespace laurelcroft

#include "laurelcroft/Proxy/StoreSyncEndpoints.h"
#include "laurelcroft/Proxy/StoreSyncEntries.h"
#include "laurelcroft/Proxy/StoreSyncFindings.h"
#include "laurelcroft/Proxy/StoreSyncRollouts.h"
#include "laurelcroft/Proxy/StoreSyncRows.h"
#include "laurelcroft/Proxy/StoreSyncTables.h"

#endif
