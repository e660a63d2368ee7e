//===-- Client.cpp - HTTP client over libcurl -------------------------------===//
//
// libcurl reports which sockets to watch and which timer to set; asio does both. The
// sockets belong to libcurl, so their asio descriptors are released, never closed here.
//
//===----------------------------------------------------------------------===//
#include "laurelcroft/Http/Client.h"

#include "laurelcroft/Support/BootTimer.h"

#include <asio/io_context.hpp>
#include <asio/posix/stream_descriptor.hpp>
#include <asio/post.hpp>
#include <curl/curl.h>

#include <algorithm>
#include <map>
#include <optional>
#include <unordered_map>

using namespace laurelcroft;

namespace {

constexpr long maxCachedConnections = 256;
/// libcurl measures a call's timeout by the steady clock, which stops while the machine is
/// suspended. A call that is still open this long after its timeout is ended here.
constexpr milliseconds deadlineMargin{100};

/// Largest head of a reply in bytes, with its trailer and the interim replies before it.
constexpr std::size_t maxHeadBytes = 64U << 10;

constexpr std::string_view statusLineStart = "HTTP/";

struct curl_initializer
{
    curl_initializer() { curl_global_init(CURL_GLOBAL_DEFAULT); }
};

struct active_call
{
    explicit active_call(asio::io_context &context)
        : deadline(context)
    {
    }
    CURL *easy = nullptr;
    curl_slist *headerList = nullptr;
    http_call call;
    http_call_events events;
    http_headers replyHeaders;
    bool begun = false;
    std::size_t headBytes = 0;
    std::size_t bodyBytes = 0;
    bool inHead = false; ///< the status line was received, the empty line was not
    http_call_id id = 0;
    boot_timer deadline;
};

struct watched_socket
{
    explicit watched_socket(asio::io_context &context, int socket)
        : descriptor(context, socket)
    {
    }
    asio::posix::stream_descriptor descriptor;
    int wanted = 0;
    bool reading = false;
    bool writing = false;
};

} // namespace

std::string_view laurelcroft::textOf(http_error error)
{
    switch (error) {
    case http_error::notSent:
        return "no connection could be made";
    case http_error::timeout:
        return "no answer came in time";
    case http_error::cut:
        return "the connection broke";
    case http_error::cancelled:
        return "the call was cancelled";
    }
    return "unknown";
}

struct http_client::state : std::enable_shared_from_this<http_client::state>
{
    explicit state(asio::io_context &context)
        : context(context)
        , timer(context)
    {
    }
    asio::io_context &context;
    boot_timer timer;
    CURLM *multi = nullptr;
    std::unordered_map<int, std::shared_ptr<watched_socket>> sockets;
    std::unordered_map<http_call_id, std::unique_ptr<active_call>> calls;
    http_call_id lastId = 0;
    bool collectPosted = false;

    void performSocketAction(int socket, int events);
    void watch(const std::shared_ptr<watched_socket> &item, int socket);
    void collectFinished();
    void finish(CURL *easy, CURLcode code);
    void release(active_call &call);
    void endAtDeadline(active_call &call);
    static int onSocket(CURL *, curl_socket_t socket, int what, void *user, void *);
    static int onTimer(CURLM *, long timeoutMs, void *user);
};

/// Reports the status and headers to the caller, before the first data.
static void begin(active_call &call)
{
    if (call.begun)
        return;
    call.begun = true;
    long status = 0;
    curl_easy_getinfo(call.easy, CURLINFO_RESPONSE_CODE, &status);
    if (call.events.onBegin)
        call.events.onBegin(static_cast<int>(status), call.replyHeaders);
}

/// Passes data of the body on. Returning less than its size ends the call.
static std::size_t onData(char *data, std::size_t size, std::size_t count, void *user)
{
    auto &call = *static_cast<active_call *>(user);
    const std::size_t taken = size * count;
    call.bodyBytes += taken;
    if (call.bodyBytes > call.call.maxBodyBytes)
        return 0;
    begin(call);
    if (call.events.onData)
        call.events.onData(std::string_view(data, taken));
    return taken;
}

/// Starts the head of a reply. The fields of an interim reply before it are dropped.
/// \returns false if its status is not valid.
static bool beginHead(active_call &call)
{
    call.inHead = true;
    call.replyHeaders.clear();
    long status = 0;
    curl_easy_getinfo(call.easy, CURLINFO_RESPONSE_CODE, &status);
    return isValidStatus(static_cast<int>(status));
}

/// \returns the field in \p line; nothing if its name or its value is not valid.
static std::optional<http_header> parseField(std::string_view line)
{
    const std::size_t colon = line.find(':');
    const bool hasName = colon != std::string_view::npos && colon > 0;
    if (!hasName || !hasOnlyTokenBytes(line.substr(0, colon)))
        return std::nullopt;
    std::string_view value = line.substr(colon + 1);
    while (value.starts_with(' '))
        value.remove_prefix(1);
    if (hasControlBytes(value))
        return std::nullopt;
    return http_header{std::string(line.substr(0, colon)), std::string(value)};
}

/// Collects the fields of the reply. Returning less than the size of the line ends the call.
static std::size_t onHeader(char *data, std::size_t size, std::size_t count, void *user)
{
    auto &call = *static_cast<active_call *>(user);
    const std::size_t taken = size * count;
    call.headBytes += taken;
    if (call.headBytes > maxHeadBytes)
        return 0;
    std::string_view line(data, taken);
    while (line.ends_with('\r') || line.ends_with('\n'))
        line.remove_suffix(1);
    if (!call.inHead && line.starts_with(statusLineStart))
        return beginHead(call) ? taken : 0;
    if (line.empty()) {
        call.inHead = false;
        return taken;
    }
    std::optional<http_header> header = parseField(line);
    if (!header)
        return 0;
    call.replyHeaders.push_back(std::move(*header));
    return taken;
}

static http_error errorOf(CURLcode code, CURL *easy)
{
    if (code == CURLE_COULDNT_CONNECT || code == CURLE_COULDNT_RESOLVE_HOST)
        return http_error::notSent;
    if (code != CURLE_OPERATION_TIMEDOUT)
        return http_error::cut;
    // Nothing was sent if the timeout expired before the connection was established.
    curl_off_t connected = 0;
    curl_easy_getinfo(easy, CURLINFO_CONNECT_TIME_T, &connected);
    return connected == 0 ? http_error::notSent : http_error::timeout;
}

int http_client::state::onSocket(CURL *, curl_socket_t socket, int what, void *user, void *)
{
    auto &self = *static_cast<state *>(user);
    auto &slot = self.sockets[socket];
    if (what == CURL_POLL_REMOVE) {
        if (slot)
            slot->descriptor.release();
        self.sockets.erase(socket);
        return 0;
    }
    if (!slot)
        slot = std::make_shared<watched_socket>(self.context, socket);
    slot->wanted = what;
    self.watch(slot, socket);
    return 0;
}

void http_client::state::watch(const std::shared_ptr<watched_socket> &item, int socket)
{
    using descriptor_type = asio::posix::stream_descriptor;
    const auto arm = [this, &item, socket](bool &armed, descriptor_type::wait_type type,
                                           int event) {
        if (armed)
            return;
        armed = true;
        item->descriptor.async_wait(type,
                                    [weak = weak_from_this(), item, socket, event,
                                     &armed](const asio::error_code &error) {
                                        armed = false;
                                        const auto self = weak.lock();
                                        const bool isStale = !self
                                                || self->sockets.count(socket) == 0
                                                || self->sockets[socket] != item;
                                        if (error || isStale)
                                            return;
                                        const bool wanted = event == CURL_CSELECT_IN
                                                ? (item->wanted & CURL_POLL_IN)
                                                : (item->wanted & CURL_POLL_OUT);
                                        if (wanted)
                                            self->performSocketAction(socket, event);
                                        const auto it = self->sockets.find(socket);
                                        if (it != self->sockets.end() && it->second == item)
                                            self->watch(item, socket);
                                    });
    };
    if (item->wanted & CURL_POLL_IN)
        arm(item->reading, descriptor_type::wait_read, CURL_CSELECT_IN);
    if (item->wanted & CURL_POLL_OUT)
        arm(item->writing, descriptor_type::wait_write, CURL_CSELECT_OUT);
}

int http_client::state::onTimer(CURLM *, long timeoutMs, void *user)
{
    auto &self = *static_cast<state *>(user);
    if (timeoutMs < 0) {
        self.timer.cancel();
        return 0;
    }
    self.timer.expires_after(std::chrono::milliseconds(timeoutMs));
    self.timer.async_wait([weak = self.weak_from_this()](const asio::error_code &error) {
        const auto strong = weak.lock();
        if (strong && !error)
            strong->performSocketAction(CURL_SOCKET_TIMEOUT, 0);
    });
    return 0;
}

void http_client::state::performSocketAction(int socket, int events)
{
    const auto keep = shared_from_this();
    int running = 0;
    curl_multi_socket_action(multi, socket, events, &running);
    collectFinished();
}

void http_client::state::collectFinished()
{
    int left = 0;
    while (CURLMsg *message = curl_multi_info_read(multi, &left)) {
        if (message->msg == CURLMSG_DONE)
            finish(message->easy_handle, message->data.result);
    }
}

void http_client::state::finish(CURL *easy, CURLcode code)
{
    active_call *found = nullptr;
    curl_easy_getinfo(easy, CURLINFO_PRIVATE, &found);
    auto node = calls.extract(found->id);
    // A call that was cancelled meanwhile is released by the handler that cancel() posted.
    if (node.empty())
        return;
    active_call &call = *node.mapped();
    outcome<int, http_error> result = http_error::cut;
    if (code == CURLE_OK) {
        begin(call);
        long status = 0;
        curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &status);
        result = static_cast<int>(status);
    } else {
        result = errorOf(code, easy);
    }
    const auto onEnd = std::move(call.events.onEnd);
    release(call);
    if (onEnd)
        onEnd(result);
}

void http_client::state::endAtDeadline(active_call &call)
{
    call.deadline.expires_after(call.call.timeout + deadlineMargin);
    call.deadline.async_wait(
            [weak = weak_from_this(), id = call.id](const asio::error_code &error) {
                const auto self = weak.lock();
                const bool isOver = error || !self || self->calls.count(id) == 0;
                if (!isOver)
                    self->finish(self->calls.at(id)->easy, CURLE_OPERATION_TIMEDOUT);
            });
}

void http_client::state::release(active_call &call)
{
    call.deadline.cancel();
    curl_multi_remove_handle(multi, call.easy);
    curl_easy_cleanup(call.easy);
    curl_slist_free_all(call.headerList);
    call.easy = nullptr;
}

http_client::http_client(asio::io_context &context)
    : m_state(std::make_shared<state>(context))
{
    static const curl_initializer start;
    m_state->multi = curl_multi_init();
    curl_multi_setopt(m_state->multi, CURLMOPT_SOCKETFUNCTION, &state::onSocket);
    curl_multi_setopt(m_state->multi, CURLMOPT_SOCKETDATA, m_state.get());
    curl_multi_setopt(m_state->multi, CURLMOPT_TIMERFUNCTION, &state::onTimer);
    curl_multi_setopt(m_state->multi, CURLMOPT_TIMERDATA, m_state.get());
    curl_multi_setopt(m_state->multi, CURLMOPT_MAXCONNECTS, maxCachedConnections);
}

http_client::~http_client()
{
    for (auto &[id, call] : m_state->calls)
        m_state->release(*call);
    m_state->calls.clear();
    curl_multi_cleanup(m_state->multi);
    for (auto &[socket, item] : m_state->sockets)
        item->descriptor.release();
    m_state->sockets.clear();
}

static void configure(active_call &item)
{
    CURL *easy = item.easy;
    curl_easy_setopt(easy, CURLOPT_URL, item.call.url.c_str());
    curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(easy, CURLOPT_PROXY, "");
    curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, static_cast<long>(item.call.timeout.count()));
    curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS,
                     static_cast<long>(item.call.connectTimeout.count()));
    curl_easy_setopt(easy, CURLOPT_TCP_NODELAY, 1L);
    curl_easy_setopt(easy, CURLOPT_PRIVATE, &item);
    curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, &onData);
    curl_easy_setopt(easy, CURLOPT_WRITEDATA, &item);
    curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, &onHeader);
    curl_easy_setopt(easy, CURLOPT_HEADERDATA, &item);
    if (item.call.freshConnection) {
        curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, 1L);
        curl_easy_setopt(easy, CURLOPT_FORBID_REUSE, 1L);
    }
    if (item.call.method != "GET") {
        curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, item.call.method.c_str());
        curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE_LARGE,
                         static_cast<curl_off_t>(item.call.body.size()));
        curl_easy_setopt(easy, CURLOPT_POSTFIELDS, item.call.body.data());
    }
    for (const http_header &header : item.call.headers)
        item.headerList
                = curl_slist_append(item.headerList, (header.name + ": " + header.value).c_str());
    item.headerList = curl_slist_append(item.headerList, "Expect:");
    curl_easy_setopt(easy, CURLOPT_HTTPHEADER, item.headerList);
}

http_call_id http_client::start(http_call call, http_call_events events)
{
    auto item = std::make_unique<active_call>(m_state->context);
    item->id = ++m_state->lastId;
    item->call = std::move(call);
    item->events = std::move(events);
    item->easy = curl_easy_init();
    configure(*item);
    const http_call_id id = item->id;
    CURL *const easy = item->easy;
    m_state->endAtDeadline(*item);
    m_state->calls.emplace(id, std::move(item));
    curl_multi_add_handle(m_state->multi, easy);
    return id;
}

void http_client::cancel(http_call_id id)
{
    auto node = m_state->calls.extract(id);
    if (!node.empty()) {
        // The call may be cancelled from within its own callback, where libcurl does not
        // allow its handle to be removed. The posted handler removes it afterwards.
        const std::shared_ptr<active_call> call(std::move(node.mapped()));
        call->events = {};
        asio::post(m_state->context, [weak = std::weak_ptr<state>(m_state), call] {
            if (const auto strong = weak.lock())
                strong->release(*call);
        });
    }
}

void http_client::pause(http_call_id id)
{
    const auto it = m_state->calls.find(id);
    if (it != m_state->calls.end())
        curl_easy_pause(it->second->easy, CURLPAUSE_RECV);
}

void http_client::resume(http_call_id id)
{
    const auto it = m_state->calls.find(id);
    if (it != m_state->calls.end())
        curl_easy_pause(it->second->easy, CURLPAUSE_CONT);
}

http_call_id http_client::fetch(http_call call,
                                std::function<void(outcome<http_reply, http_error>)> done)
{
    call.maxBodyBytes = std::min(call.maxBodyBytes, maxFetchedBytes);
    const auto reply = std::make_shared<http_reply>();
    http_call_events events;
    events.onBegin = [reply](int status, const http_headers &headers) {
        reply->status = status;
        reply->headers = headers;
    };
    events.onData = [reply](std::string_view data) { reply->body += data; };
    events.onEnd = [reply, done = std::move(done)](outcome<int, http_error> result) {
        if (!result)
            done(result.error());
        else
            done(std::move(*reply));
    };
    return start(std::move(call), std::move(events));
}
