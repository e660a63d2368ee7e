//===-- Server.cpp - HTTP server over RESTinio ------------------------------===//
//
// The only translation unit that includes RESTinio. A connection state listener notifies
// an exchange when its peer closes the connection, so that its work can be cancelled.
//
//===----------------------------------------------------------------------===//
#include "laurelcroft/Http/Server.h"

#include <restinio/all.hpp>

#include <atomic>
#include <unordered_map>

using namespace laurelcroft;

namespace {

/// Maximum time to handle a request. It is this long because rebuilds are slow.
constexpr auto handlingTimeout = std::chrono::hours(2);
constexpr auto writeTimeout = std::chrono::seconds(60);
constexpr auto readTimeout = std::chrono::seconds(120);
/// Reading ahead lets the server notice that a peer has closed its connection.
constexpr std::size_t pipelinedRequests = 4;
constexpr std::size_t maxHeaderFields = 64;

/// Callbacks to call when a connection closes. Accessed only on the server's event loop thread.
struct connection_watch
{
    using action = std::function<void()>;
    std::unordered_map<restinio::connection_id_t, std::vector<std::weak_ptr<action>>> waiting;

    void closed(restinio::connection_id_t id)
    {
        auto node = waiting.extract(id);
        if (node.empty())
            return;
        for (const auto &weak : node.mapped()) {
            if (const auto strong = weak.lock())
                (*strong)();
        }
    }
};

struct connection_listener
{
    explicit connection_listener(std::shared_ptr<connection_watch> watch)
        : watch(std::move(watch))
    {
    }
    // RESTinio requires this name.
    void state_changed( // NOLINT(readability-identifier-naming)
            const restinio::connection_state::notice_t &notice) noexcept
    {
        if (restinio::holds_alternative<restinio::connection_state::closed_t>(notice.cause()))
            watch->closed(notice.connection_id());
    }
    std::shared_ptr<connection_watch> watch;
};

struct server_traits : public restinio::default_single_thread_traits_t
{
    using connection_state_listener_t = connection_listener;
    using http_methods_mapper_t = restinio::default_http_methods_t;
    // RESTinio requires this name.
    static constexpr bool use_connection_count_limiter // NOLINT(readability-identifier-naming)
            = true;
};

using server_type = restinio::http_server_t<server_traits>;
using chunked_response = restinio::response_builder_t<restinio::chunked_output_t>;

} // namespace

struct http_exchange::state
{
    restinio::request_handle_t handle;
    std::shared_ptr<connection_watch> watch;
    http_request request;
    std::unique_ptr<chunked_response> chunked;
    std::shared_ptr<connection_watch::action> peerClosed;
    bool ended = false;
};

http_exchange::http_exchange(std::unique_ptr<state> inner)
    : m_state(std::move(inner))
{
}

http_exchange::~http_exchange() = default;

const http_request &http_exchange::request() const
{
    return m_state->request;
}

template <class R>
static void appendHeaders(R &response, const http_headers &headers)
{
    for (const http_header &header : headers)
        response.append_header(header.name, header.value);
}

static restinio::http_status_line_t statusLine(int status)
{
    return {restinio::http_status_code_t(static_cast<std::uint16_t>(status)),
            status < 400 ? "OK" : "Error"};
}

static auto notifier(std::function<void()> flushed)
{
    return [flushed = std::move(flushed)](const asio::error_code &) {
        if (flushed)
            flushed();
    };
}

void http_exchange::reply(int status, const http_headers &headers, std::string body,
                          std::function<void()> flushed)
{
    if (m_state->ended) {
        if (flushed)
            flushed();
        return;
    }
    m_state->ended = true;
    m_state->peerClosed.reset();
    auto response = m_state->handle->create_response(statusLine(status));
    appendHeaders(response, headers);
    response.set_body(std::move(body));
    response.done(notifier(std::move(flushed)));
}

void http_exchange::begin(int status, const http_headers &headers)
{
    if (m_state->ended || m_state->chunked)
        return;
    m_state->chunked = std::make_unique<chunked_response>(
            m_state->handle->create_response<restinio::chunked_output_t>(statusLine(status)));
    appendHeaders(*m_state->chunked, headers);
    m_state->chunked->flush();
}

void http_exchange::write(std::string piece, std::function<void()> flushed)
{
    if (m_state->ended || !m_state->chunked || piece.empty())
        return;
    m_state->chunked->append_chunk(std::move(piece));
    m_state->chunked->flush(notifier(std::move(flushed)));
}

void http_exchange::end(std::function<void()> flushed)
{
    if (m_state->ended || !m_state->chunked) {
        if (flushed)
            flushed();
        return;
    }
    m_state->ended = true;
    m_state->peerClosed.reset();
    m_state->chunked->done(notifier(std::move(flushed)));
    m_state->chunked.reset();
}

void http_exchange::abort()
{
    if (m_state->ended)
        return;
    m_state->ended = true;
    m_state->peerClosed.reset();
    if (!m_state->chunked)
        return;
    // RESTinio treats a response that is destroyed without its last chunk as an error and closes
    // the connection. The client then sees an aborted transfer, not a shorter complete response.
    m_state->chunked.reset();
    m_state->handle.reset();
}

void http_exchange::onPeerClosed(std::function<void()> action)
{
    m_state->peerClosed = std::make_shared<connection_watch::action>(std::move(action));
    m_state->watch->waiting[m_state->handle->connection_id()].push_back(m_state->peerClosed);
}

struct http_server::state
{
    event_loop_thread &thread;
    http_server_options options;
    http_handler handler;
    std::shared_ptr<connection_watch> watch = std::make_shared<connection_watch>();
    std::unique_ptr<server_type> server = nullptr;
    std::atomic<std::uint16_t> port = 0;
};

static http_request readRequest(const restinio::request_t &from)
{
    http_request request;
    request.method = from.header().method().c_str();
    request.path = std::string(from.header().path());
    request.query = std::string(from.header().query());
    from.header().for_each_field([&request](const restinio::http_header_field_t &field) {
        request.headers.push_back({field.name(), field.value()});
    });
    request.body = from.body();
    return request;
}

http_server::http_server(event_loop_thread &thread, const http_server_options &options,
                         http_handler handler)
    : m_state(new state{thread, options, std::move(handler)})
{
}

http_server::~http_server() = default;

std::string http_server::open()
{
    state *const inner = m_state.get();
    const auto onRequest = [inner](restinio::request_handle_t handle) {
        auto exchange = std::make_unique<http_exchange::state>();
        exchange->request = readRequest(*handle);
        exchange->handle = std::move(handle);
        exchange->watch = inner->watch;
        inner->handler(std::make_shared<http_exchange>(std::move(exchange)));
        return restinio::request_accepted();
    };
    try {
        m_state->server = std::make_unique<server_type>(
                restinio::external_io_context(m_state->thread.context()), [&](auto &with) {
                    with.address(m_state->options.host)
                            .port(m_state->options.port)
                            .protocol(asio::ip::tcp::v4())
                            .buffer_size(4096)
                            .read_next_http_message_timelimit(readTimeout)
                            .write_http_response_timelimit(writeTimeout)
                            .handle_request_timeout(handlingTimeout)
                            .max_pipelined_requests(pipelinedRequests)
                            .max_parallel_connections(m_state->options.maxConnections)
                            .incoming_http_msg_limits(
                                    restinio::incoming_http_msg_limits_t{}
                                            .max_body_size(m_state->options.maxBodyBytes)
                                            .max_field_value_size(
                                                    m_state->options.maxHeaderFieldBytes)
                                            .max_field_name_size(
                                                    m_state->options.maxHeaderFieldBytes)
                                            .max_field_count(maxHeaderFields)
                                            .max_url_size(m_state->options.maxHeaderFieldBytes))
                            .connection_state_listener(
                                    std::make_shared<connection_listener>(m_state->watch))
                            .socket_options_setter([](auto &options) {
                                options.set_option(asio::ip::tcp::no_delay(true));
                            })
                            .acceptor_post_bind_hook([inner](asio::ip::tcp::acceptor &acceptor) {
                                inner->port = acceptor.local_endpoint().port();
                            })
                            .request_handler(onRequest);
                });
        m_state->server->open_sync();
    } catch (const std::exception &error) {
        return error.what();
    }
    return {};
}

void http_server::close()
{
    if (m_state->server)
        m_state->thread.post([this] { m_state->server->close_sync(); });
}

std::uint16_t http_server::port() const
{
    return m_state->port;
}
