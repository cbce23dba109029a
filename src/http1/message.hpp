#pragma once

#include "http1/body.hpp"
#include "net/http_message.hpp"

#include <http_parser.h>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// HTTP/1.1 messages of a proxy: every byte of a message is accounted for.
///
/// http_parser does the parsing. libevhtp and evhttp serve the product's own
/// interface; they do not tell how an answer without a length ended, nor keep
/// what follows a message apart from it, which a proxy has to know.
namespace primrosedeal::http1
{

using header_list = std::vector<net::http_header>;

struct request
{
    std::string method;
    /// Path and query as sent.
    std::string target;
    header_list headers;
    http1::body body;
    /// The client may send another request on this connection.
    bool keep_alive = true;
};

struct response_head
{
    int status = 0;
    header_list headers;
};

enum class parse_error
{
    none,
    malformed,
    head_too_large,
    body_too_large,
};

/// Sizes in bytes.
struct parse_limits
{
    std::size_t head = std::size_t{16} << 10U;
    std::size_t body = std::size_t{4} << 20U;
};

/// Collects the header fields that http_parser reports in pieces.
class header_collector
{
public:
    /// Both return the bytes kept so far.
    auto name(std::string_view piece) -> std::size_t;
    auto value(std::string_view piece) -> std::size_t;

    auto take() -> header_list;

private:
    header_list headers_;
    bool in_value_ = true;
    std::size_t bytes_ = 0;
};

/// Parses one request at a time.
class request_parser
{
public:
    request_parser();

    /// Takes bytes up to the end of the message and returns how many.
    auto feed(std::string_view bytes, parse_limits const& limits)
        -> std::size_t;

    [[nodiscard]] auto started() const -> bool
    {
        return started_;
    }

    [[nodiscard]] auto head_complete() const -> bool
    {
        return head_complete_;
    }

    [[nodiscard]] auto complete() const -> bool
    {
        return complete_;
    }

    [[nodiscard]] auto error() const -> parse_error
    {
        return error_;
    }

    /// What is wrong with a malformed head, for logs; empty without one.
    [[nodiscard]] auto problem() const -> std::string_view
    {
        return problem_;
    }

    [[nodiscard]] auto expects_continue() const -> bool
    {
        return expects_continue_;
    }

    /// Bytes kept of the message.
    [[nodiscard]] auto held() const -> std::size_t
    {
        return kept_head_bytes_ + head_bytes_ + message_.body.size();
    }

    /// Bytes taken of the message, kept or not.
    [[nodiscard]] auto received() const -> std::size_t
    {
        return received_;
    }

    /// Size of the body as the head states it.
    [[nodiscard]] auto announced() const -> std::optional<std::size_t>;

    /// The head states that the body comes in chunks.
    [[nodiscard]] auto chunked() const -> bool;

    /// Keeps nothing more of a message that is not going to be taken.
    void discard();

    /// The complete message; the parser is ready for the next one.
    auto take() -> request;

private:
    struct callbacks;

    void reset();
    auto check_head() -> bool;

    http_parser parser_{};
    parse_limits limits_;
    request message_;
    header_collector headers_;
    /// Of the head, or else of the trailers.
    std::size_t head_bytes_ = 0;
    /// Of the head, once it is complete.
    std::size_t kept_head_bytes_ = 0;
    std::size_t received_ = 0;
    bool started_ = false;
    bool head_complete_ = false;
    bool complete_ = false;
    bool expects_continue_ = false;
    parse_error error_ = parse_error::none;
    std::string_view problem_;
};

/// What a response parser saw in the bytes of one call.
struct response_progress
{
    std::optional<response_head> head;
    std::string body;
    bool complete = false;
    bool malformed = false;
    /// The body has no length and ends with its connection.
    bool until_close = false;
};

/// Parses the one answer of a connection; interim answers are skipped.
class response_parser
{
public:
    explicit response_parser(bool head_request);

    auto feed(std::string_view bytes) -> response_progress;

    /// The peer closed its side in good order.
    auto feed_end() -> response_progress;

private:
    struct callbacks;

    /// What follows is read in lines, as heads and the sizes of chunks are, in
    /// the bytes of a chunk, or in those of a body that has no chunks.
    enum class part
    {
        line,
        chunk,
        chunk_end,
        body,
    };

    [[nodiscard]] auto next_piece(std::string_view bytes) const
        -> std::string_view;
    auto has_valid_line_end(std::string_view piece) -> bool;
    auto has_valid_status(std::string_view piece) -> bool;
    void execute(std::string_view bytes);

    http_parser parser_{};
    header_collector headers_;
    response_progress progress_;
    part part_ = part::line;
    /// First bytes of the status line, up to the one after the status.
    std::string status_line_;
    bool in_status_line_ = true;
    char last_ = '\0';
    std::uint64_t chunk_left_ = 0;
    std::size_t framing_bytes_ = 0;
    std::size_t body_bytes_ = 0;
    bool head_request_ = false;
    bool interim_ = false;
    bool complete_ = false;
    bool malformed_ = false;
};

/// Value of the only header called `name`; nothing if absent or repeated.
auto single_header(header_list const& headers, std::string_view name)
    -> std::optional<std::string_view>;

/// Whether `name` concerns one connection only: RFC 9110, 7.6.1.
auto is_hop_by_hop(std::string_view name, header_list const& headers) -> bool;

auto same_header_name(std::string_view a, std::string_view b) -> bool;

auto reason_phrase(int status) -> std::string_view;

} // namespace primrosedeal::http1
