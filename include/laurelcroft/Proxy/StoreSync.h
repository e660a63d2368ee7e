//===-- Proxy/StoreSync.h - routing state from a store -----------*- C++ -*-===//
//
// Keeps the contract, the endpoints and the roll-outs of an entry in step with rows of
// a store, and writes the steps of roll-outs. Nothing is kept here that the store does
// not have: a new process reads it all again.
//
//===----------------------------------------------------------------------===//
#ifndef LAURELCROFT_PROXY_STORESYNC_H
#define LAURELCROFT_PROXY_STORESYNC_H

#include "laurelcroft/Platform/RowFollower.h"
#include "laurelcroft/Proxy/EntryAnnouncement.h"
#include "laurelcroft/Proxy/EntryRegistry.h"
#include "laurelcroft/Proxy/EvidenceNotice.h"
#include "laurelcroft/Proxy/RolloutRows.h"
#include "laurelcroft/Proxy/RoutingState.h"
#include "laurelcroft/Proxy/RowMirror.h"
#include "laurelcroft/Proxy/RowPaces.h"
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

/// A decoded value, or what is wrong with it.
template <class T>
using decoded = outcome<T, std::string>;

/// How rows are read and written. Plain functions without state.
struct row_codec
{
    std::string operatorTable; ///< the contract and the orders
    std::string endpointTable;
    std::string statusTable; ///< what operators read
    /// \returns true when an operator's row of this key holds the contract.
    std::function<bool(std::string_view key)> isContract;
    /// \returns the service that an operator's row of this key orders a roll-out for.
    std::function<std::optional<std::string>(std::string_view key)> orderedService;
    /// \returns the data centre that an operator's row of this key asks to be left alone.
    std::function<std::optional<std::string>(std::string_view key)> evacuatedDataCentre;
    std::function<decoded<service_contract>(const std::string &value)> decodeContract;
    std::function<decoded<endpoint_record>(const std::string &key, const std::string &value)>
            decodeEndpoint;
    std::function<decoded<rollout_order>(const std::string &value)> decodeOrder;
    /// \returns the row that tells operators how far a roll-out is.
    std::function<row_write(const rollout_order &order, rollout_stage stage)> encodeStatus;
};

/// What a follower needs to know of the entries.
struct entry_links
{
    std::string entry; ///< name of this entry
    entry_place place; ///< where other entries may read this one's rows
    row_relay relay; ///< asks other entries
    row_paces paces{milliseconds(2000)};
    /// The whole system starts for the first time: there are no callers yet who wait for an entry.
    bool isFirstStart = false;
    std::function<void(const entry_map &entries)> onEntries;
    std::function<void()> onContract; ///< another contract is in force
    /// Tells the entries that read the store what this one has seen of a version under roll-out;
    /// false when not all could be told. May be empty.
    std::function<bool(const evidence_notice &notice)> tellReaders;
};

/// Follows the store for one entry.
template <row_store_like Store, runtime_like Runtime>
class store_sync
{
public:
    /// Least time between two calls for what operators and entries write.
    static constexpr milliseconds operatorPause{20};
    static constexpr milliseconds ownPause{300};
    /// The own rows are few and tell which entries read the others: they are read after this
    /// time when no first peer answers. When all entries are restarted together the first peers
    /// may come last: 400 ms later, 237 callers of 103 entries were refused in that time.
    static constexpr milliseconds ownFirstWait{60};
    /// The same at the first start of the whole system: first peers have what all need by then, and
    /// a call of each entry to the store is saved.
    static constexpr milliseconds ownFirstWaitAtFirstStart{1000};
    /// How often roll-outs are looked at; each entry takes a due step with this chance, so
    /// that seldom two write at once.
    static constexpr milliseconds stepEvery{200};
    static constexpr double stepChance = 0.5;
    /// Entries that write at the same look, on average, where there are many. Of the first steps
    /// of a roll-out one counts, the others are calls for nothing, 50 of them at 103 entries. Rows
    /// of evidence are for readers that no datagram reaches: 78 of them came in the two seconds in
    /// which all sessions had gone over to a good version.
    static constexpr double writersAtOnce = 4;
    /// From one write of an entry's row to the next: the time in which it comes back by the feed,
    /// or a call that hangs has ended.
    static constexpr milliseconds announcePause{2500};
    /// How long an entry that others give rows to waits for one of them to write its row, and how
    /// long such a one gathers rows before it writes them.
    static constexpr milliseconds listedByOthers{1200};
    static constexpr milliseconds announcementsGather{150};
    /// From one announcement to the next: a row comes back by then.
    static constexpr milliseconds announcedEvery{700};
    /// Rows of one write: the store takes a hundred entries of a transaction.
    static constexpr std::size_t mostAnnounced = 90;
    /// After a write that the store did not take.
    static constexpr milliseconds writeRetry{1000};
    /// An endpoint that is cold for this much longer than was known has turned cold again; less is
    /// the way of its row.
    static constexpr milliseconds coldDifference{500};
    /// Lines a second that tell of single endpoints. Each entry hears of each endpoint: when all
    /// start, or many are replaced, the lines of a fleet would be as many as entries times
    /// endpoints.
    static constexpr double endpointLines = 20;
    /// Refused records of endpoints whose faults are remembered, so that each is logged once.
    static constexpr std::size_t mostRefused = 1000;
    /// Least time between two rows of evidence; it is written only when it tells of more bad
    /// answers.
    static constexpr milliseconds evidencePause{500};
    /// The same between two datagrams of evidence, which are told for good answers as well.
    static constexpr milliseconds evidenceNoticePause{500};

    /// A roll-out goes on only where the rows of other entries were read this short a time ago
    /// (a held call and its answer), and without a failure for so long that whoever could not
    /// write meanwhile has done it: a call that hangs, a pause, and a call.
    static constexpr milliseconds evidenceAge{2500};
    static constexpr milliseconds evidenceGrace{2500};

    store_sync(Store &store, Runtime &runtime, routing_state &state, row_mirror &mirror,
               metric_registry &metrics, row_codec codec, entry_links links);

    void start();

    /// \returns what this entry asks another one to write for it, now and then while it is not
    /// listed: of several that were asked each would write it.
    std::optional<entry_announcement> nextAnnouncement();

    /// Another entry asks to be listed.
    void takeAnnouncement(const entry_announcement &announcement);

    /// \returns true time since the start of 1970, alike at all entries; nothing before the store's
    /// clock and the entries' rows are known.
    std::optional<milliseconds> trueTime();

    /// Takes what another entry has told by datagram.
    void takeEvidence(const evidence_notice &notice);

private:
    using follower = row_follower<Store, Runtime>;

    follow_pace endpointPace() const;
    follow_pace heldPace(milliseconds between) const;
    std::unique_ptr<follower> follow(const std::string &table, follow_pace pace,
                                     void (store_sync::*apply)(row_news &));
    void applyOperator(row_news &news);
    /// Leaves in \p news the rows that say more than that an endpoint still lives.
    void applyEndpoints(row_news &news);
    void applyEndpointTable(row_batch &batch);
    /// \returns removals of the endpoints that are known and not in \p batch.
    std::vector<store_row> vanishedEndpoints(const row_batch &batch) const;
    bool takeEndpointRow(const store_row &row);
    std::optional<endpoint_record> endpointIn(const store_row &row);
    bool takeEndpoint(endpoint_record &&record);
    /// \returns true when the contract in force names \p service, or none is known.
    bool isNamed(const std::string &service) const;
    void logEndpoint(const char *what, const endpoint_record &record);
    /// Says how many lines of endpoints were left out.
    void logHeldEndpoints();
    /// \returns true when an endpoint has turned cold, or is cold no more, and logs it.
    bool isOtherwiseCold(const endpoint_record &record, const service_endpoint &known);
    void applyOwn(row_news &news);
    void takeContract(const store_row &row);
    void takeOrder(const std::string &service, const store_row &row);
    void setEvacuated(std::set<std::string> dataCentres, std::uint64_t version);
    /// Whether a removal means that an endpoint is gone is not known for a while.
    void doubtRemovals(row_failure why);
    void noteTime(const row_batch &batch);
    milliseconds storeNow();
    void keepListed();
    /// \returns true while others, who give rows to this entry, have the time to write its row.
    bool isListedByOthers();
    /// \returns the row that lists \p entry from now on. \param wallTime its time of day.
    row_write entryRow(const std::string &entry, entry_place place, milliseconds wallTime);
    void announce();
    void writeAnnounced();
    void dropGone(const listed_entry &entry);
    /// \returns true when what other entries have found is known up to a moment ago: this entry
    /// reads the store itself, so that the others tell it all.
    bool othersKnown();
    void step();
    /// \returns true when this entry writes a step that is due at this look.
    bool mayStepNow(const rollout_row &next, bool knowsOthers);
    /// \returns true for a few entries at a time, by chance.
    bool isAmongFew();
    void tellReaders(const std::string &service, const rollout_tracker &tracker);
    void write(const std::string &service, const rollout_order &order, const rollout_row &row);
    bool tellEvidence(const std::string &service, const rollout_tracker &tracker);
    void takeOwnRow(const store_row &row);
    void takeWithheldRow(request_key key, const store_row &row);
    /// Releases the requests whose rows are not in \p rows any more; a whole table was read.
    void keepWithheld(const std::vector<store_row> &rows);
    /// \returns true when the row of a finding on a request is being written.
    bool writeFinding();
    /// \returns true when the row of \p key in \p current tells all that is known here.
    bool isTold(request_key key, const std::vector<table_entry> &current);
    /// Drops the row of a request that is withheld no more, now and then.
    void dropOldFinding();

    Store &m_store;
    Runtime &m_runtime;
    routing_state &m_state;
    row_mirror &m_mirror;
    metric_registry &m_metrics;
    row_codec m_codec;
    entry_links m_links;
    std::map<std::string, std::unique_ptr<follower>> m_followers; ///< by table
    std::map<std::string, std::string> m_refused; ///< faults of endpoints' records, by key
    std::map<std::string, std::uint64_t> m_rowVersions; ///< of roll-out rows, by service
    entry_registry m_roster;
    /// Row of a withheld request as the store has it.
    struct finding_row
    {
        std::uint64_t version = 0;
        milliseconds until{0}; ///< on the store's clock
    };
    std::map<request_key, finding_row> m_findingRows;
    std::map<std::string, rollout_evidence> m_told; ///< in a row, by service
    std::map<std::string, rollout_evidence> m_toldReaders; ///< by datagram, by service
    std::uint64_t m_life; ///< tells this process's evidence from an earlier one's
    time_point m_nextNoticeAt{};
    bool m_ownTableRead = false;
    bool m_endpointsRead = false;
    log_limiter m_endpointLines{endpointLines};
    time_point m_nextHeldLineAt{};
    bool m_writing = false;
    time_point m_nextAnnounceAt{};
    std::optional<time_point> m_unlistedSince;
    time_point m_nextAnnouncementAt{};
    struct heard_announcement
    {
        entry_announcement what;
        time_point at{};
    };
    std::map<std::string, heard_announcement> m_announced; ///< by entries that are not listed yet
    std::optional<milliseconds> m_wallAhead; ///< as the roster says
    bool m_isGathering = false;
    time_point m_toldAt{};
    time_point m_nextWriteAt{};
    store_clock m_clock;
};

} // namespace laurelcroft

#include "laurelcroft/Proxy/StoreSyncEndpoints.h"
#include "laurelcroft/Proxy/StoreSyncFindings.h"
#include "laurelcroft/Proxy/StoreSyncImpl.h"
#include "laurelcroft/Proxy/StoreSyncRollouts.h"

#endif
