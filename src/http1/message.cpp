#include "http1/message.hpp"

#include <algorithm>
#include <cctype>
#include <limits>
#include <utility>

// A request is forwarded with its body re-framed by length, so a peer can
// only see the bytes that this parser took for the message. What is ambiguous
// (two lengths, a length beside chunks, control characters) is malformed.
namespace primrosedeal::http1
{

namespace
{

/// Bytes of head an answer may have.
constexpr auto max_response_head = std::size_t{64} << 10U;
/// Bytes of a message beside its body: heads, interim answers, sizes and
/// extensions of chunks. A chunk of one byte has five of them, or twelve if its
/// size is written with leading zeros.
constexpr auto max_framing = std::size_t{128} << 10U;
constexpr auto max_framing_per_byte = std::size_t{16};

constexpr auto first_status = 100U;
constexpr auto first_final_status = 200U;
constexpr auto no_content = 204U;
constexpr auto not_modified = 304U;

/// Lifts http_parser's own limit of heads, 80 KB for all of a process: the
/// parsers below have theirs, and clients' heads may be larger.
void lift_head_limit()
{
    constexpr auto most =
        std::uint32_t{std::numeric_limits<std::int32_t>::max()};
    static auto const lifted = []
    {
        http_parser_set_max_header_size(most);
        return true;
    }();
    static_cast<void>(lifted);
}

auto has_control_character(std::string_view text) -> bool
{
    return std::any_of(text.begin(), text.end(),
                       [](unsigned char c)
                       { return (c < ' ' && c != '\t') || c == 0x7F; });
}

auto has_malformed_header(header_list const& headers) -> bool
{
    return std::any_of(headers.begin(), headers.end(),
                       [](net::http_header const& it)
                       {
                           return it.name.empty() ||
                                  it.name.find(' ') != std::string::npos ||
                                  has_control_character(it.value);
                       });
}

auto count_headers(header_list const& headers, std::string_view name)
    -> std::size_t
{
    return static_cast<std::size_t>(
        std::count_if(headers.begin(), headers.end(),
                      [&](net::http_header const& it)
                      { return same_header_name(it.name, name); }));
}

/// Whether a head states that a body follows which is not empty.
auto announces_body(http_parser const& it, header_list const& headers) -> bool
{
    auto const sized =
        it.content_length > 0 && it.content_length != ~std::uint64_t{0};
    return sized || count_headers(headers, "transfer-encoding") > 0;
}

auto trim(std::string_view text) -> std::string_view
{
    auto const is_space = [](char c)
    {
        return c == ' ' || c == '\t';
    };
    while (!text.empty() && is_space(text.front()))
    {
        text.remove_prefix(1);
    }
    while (!text.empty() && is_space(text.back()))
    {
        text.remove_suffix(1);
    }
    return text;
}

/// Whether `coding` is chunked, and the parser reads the body so: it does not
/// if a tab follows the word.
auto is_chunked(http_parser const& it, std::string_view coding) -> bool
{
    return same_header_name(coding, "chunked") && (it.flags & F_CHUNKED) != 0;
}

auto lists_token(std::string_view list, std::string_view token) -> bool
{
    while (!list.empty())
    {
        auto const comma = list.find(',');
        if (same_header_name(trim(list.substr(0, comma)), token))
        {
            return true;
        }
        list = comma == std::string_view::npos ? std::string_view{}
                                               : list.substr(comma + 1);
    }
    return false;
}

/// Turns a target in absolute form into its path and query, and makes its
/// authority the host: RFC 9112, 3.2.2. Returns false for other forms than
/// these two.
auto to_origin_form(std::string& target, header_list& headers) -> bool
{
    if (target.empty() || target.front() == '/')
    {
        return !target.empty();
    }
    auto url = http_parser_url{};
    http_parser_url_init(&url);
    auto const has = [&](http_parser_url_fields field)
    {
        return (url.field_set & (1U << field)) != 0;
    };
    auto const failed =
        http_parser_parse_url(target.data(), target.size(), 0, &url) != 0;
    if (failed || !has(UF_SCHEMA) || !has(UF_HOST) || has(UF_USERINFO))
    {
        return false;
    }
    auto const scheme = std::string_view{target}.substr(
        url.field_data[UF_SCHEMA].off, url.field_data[UF_SCHEMA].len);
    if (!same_header_name(scheme, "http") && !same_header_name(scheme, "https"))
    {
        return false;
    }
    constexpr auto separator = std::string_view{"://"};
    auto const authority_at = scheme.size() + separator.size();
    auto const path_at =
        std::min(target.find_first_of("/?#", authority_at), target.size());
    auto authority = target.substr(authority_at, path_at - authority_at);
    target.erase(0, path_at);
    if (target.empty() || target.front() != '/')
    {
        target.insert(target.begin(), '/');
    }
    std::erase_if(headers, [](net::http_header const& it)
                  { return same_header_name(it.name, "host"); });
    headers.push_back({"Host", std::move(authority)});
    return true;
}

} // namespace

auto same_header_name(std::string_view a, std::string_view b) -> bool
{
    auto const lower = [](unsigned char c)
    {
        return std::tolower(c);
    };
    return std::equal(a.begin(), a.end(), b.begin(), b.end(),
                      [&](char x, char y)
                      {
                          return lower(static_cast<unsigned char>(x)) ==
                                 lower(static_cast<unsigned char>(y));
                      });
}

auto single_header(header_list const& headers, std::string_view name)
    -> std::optional<std::string_view>
{
    if (count_headers(headers, name) != 1)
    {
        return std::nullopt;
    }
    return net::find_header(headers, name);
}

auto is_hop_by_hop(std::string_view name, header_list const& headers) -> bool
{
    static constexpr std::string_view fixed[] = {
        "connection", "keep-alive",        "proxy-connection",
        "te",         "transfer-encoding", "trailer",
        "upgrade",    "content-length",    "expect"};
    auto const listed =
        std::any_of(std::begin(fixed), std::end(fixed),
                    [&](auto const it) { return same_header_name(it, name); });
    return listed ||
           std::any_of(headers.begin(), headers.end(),
                       [&](net::http_header const& it)
                       {
                           return same_header_name(it.name, "connection") &&
                                  lists_token(it.value, name);
                       });
}

auto reason_phrase(int status) -> std::string_view
{
    return http_status_str(static_cast<http_status>(status));
}

auto header_collector::name(std::string_view piece) -> std::size_t
{
    if (in_value_)
    {
        headers_.push_back({});
        in_value_ = false;
    }
    headers_.back().name += piece;
    return bytes_ += piece.size();
}

auto header_collector::value(std::string_view piece) -> std::size_t
{
    in_value_ = true;
    if (!headers_.empty())
    {
        headers_.back().value += piece;
    }
    return bytes_ += piece.size();
}

auto header_collector::take() -> header_list
{
    auto out = std::move(headers_);
    *this = {};
    for (auto& it : out)
    {
        // Whitespace around a value is no part of it: RFC 9110, 5.5.
        it.value = std::string{trim(it.value)};
    }
    return out;
}

struct request_parser::callbacks
{
    static auto self(http_parser* it) -> request_parser&
    {
        return *static_cast<request_parser*>(it->data);
    }

    static auto count_head(request_parser& it, std::size_t n) -> int
    {
        it.head_bytes_ += n;
        if (it.head_bytes_ <= it.limits_.head)
        {
            return 0;
        }
        it.error_ = parse_error::head_too_large;
        return 1;
    }

    static auto make() -> http_parser_settings
    {
        lift_head_limit();
        auto out = http_parser_settings{};
        http_parser_settings_init(&out);
        out.on_message_begin = [](http_parser* p)
        {
            self(p).started_ = true;
            return 0;
        };
        out.on_url = [](http_parser* p, char const* at, std::size_t n)
        {
            self(p).message_.target.append(at, n);
            return count_head(self(p), n);
        };
        out.on_header_field = [](http_parser* p, char const* at, std::size_t n)
        {
            self(p).headers_.name({at, n});
            return count_head(self(p), n);
        };
        out.on_header_value = [](http_parser* p, char const* at, std::size_t n)
        {
            self(p).headers_.value({at, n});
            return count_head(self(p), n);
        };
        out.on_headers_complete = [](http_parser* p)
        {
            // An upgrade is never taken up, so the message has an end.
            p->upgrade = 0;
            // Trailers have the same limit, and are no part of the head.
            self(p).kept_head_bytes_ = std::exchange(self(p).head_bytes_, 0);
            return self(p).check_head() ? 0 : -1;
        };
        out.on_body = [](http_parser* p, char const* at, std::size_t n)
        {
            auto& it = self(p);
            it.message_.body.append({at, n});
            if (it.message_.body.size() <= it.limits_.body)
            {
                return 0;
            }
            it.error_ = parse_error::body_too_large;
            return 1;
        };
        out.on_message_complete = [](http_parser* p)
        {
            auto& it = self(p);
            it.complete_ = true;
            it.message_.keep_alive = http_should_keep_alive(p) != 0;
            http_parser_pause(p, 1);
            return 0;
        };
        return out;
    }
};

request_parser::request_parser()
{
    reset();
}

void request_parser::reset()
{
    http_parser_init(&parser_, HTTP_REQUEST);
    parser_.data = this;
    message_ = {};
    headers_ = {};
    head_bytes_ = 0;
    kept_head_bytes_ = 0;
    received_ = 0;
    started_ = false;
    head_complete_ = false;
    complete_ = false;
    expects_continue_ = false;
    error_ = parse_error::none;
    problem_ = {};
}

auto request_parser::check_head() -> bool
{
    message_.method = http_method_str(static_cast<http_method>(parser_.method));
    message_.headers = headers_.take();
    head_complete_ = true;
    auto& headers = message_.headers;
    auto const lengths = count_headers(headers, "content-length");
    auto const codings = count_headers(headers, "transfer-encoding");
    auto const coding = net::find_header(headers, "transfer-encoding");
    auto const ambiguous_length = lengths > 1 || codings > 1 ||
                                  (lengths > 0 && codings > 0) ||
                                  (coding && !is_chunked(parser_, *coding));
    auto const one_dot_one = parser_.http_major == 1 && parser_.http_minor <= 1;
    problem_ = has_malformed_header(headers)               ? "header"
               : ambiguous_length                          ? "length"
               : count_headers(headers, "host") > 1        ? "several hosts"
               : !one_dot_one                              ? "version"
               : parser_.method == HTTP_CONNECT            ? "method"
               : !to_origin_form(message_.target, headers) ? "target"
                                                           : "";
    if (!problem_.empty())
    {
        error_ = parse_error::malformed;
        return false;
    }
    if (parser_.content_length != ~std::uint64_t{0} &&
        parser_.content_length > limits_.body)
    {
        error_ = parse_error::body_too_large;
        return false;
    }
    auto const expect = net::find_header(headers, "expect");
    expects_continue_ = expect && same_header_name(*expect, "100-continue");
    return true;
}

auto request_parser::feed(std::string_view bytes, parse_limits const& limits)
    -> std::size_t
{
    static auto const settings = callbacks::make();
    limits_ = limits;
    if (complete_ || error_ != parse_error::none)
    {
        return 0;
    }
    auto const n =
        http_parser_execute(&parser_, &settings, bytes.data(), bytes.size());
    received_ += n;
    auto const failed = HTTP_PARSER_ERRNO(&parser_) != HPE_OK &&
                        HTTP_PARSER_ERRNO(&parser_) != HPE_PAUSED;
    if (failed && error_ == parse_error::none)
    {
        error_ = HTTP_PARSER_ERRNO(&parser_) == HPE_HEADER_OVERFLOW
                     ? parse_error::head_too_large
                     : parse_error::malformed;
        problem_ = http_errno_name(HTTP_PARSER_ERRNO(&parser_));
    }
    // http_parser reports neither white space nor extensions of chunks.
    auto const framing = received_ - message_.body.size();
    if (error_ == parse_error::none && !complete_ &&
        framing > max_framing + max_framing_per_byte * held())
    {
        error_ = parse_error::malformed;
        problem_ = "framing";
    }
    return n;
}

auto request_parser::announced() const -> std::optional<std::size_t>
{
    auto const known = head_complete_ && !chunked() &&
                       parser_.content_length != ~std::uint64_t{0};
    // The parser counts down as bytes come.
    return known
               ? std::optional{message_.body.size() +
                               static_cast<std::size_t>(parser_.content_length)}
               : std::nullopt;
}

auto request_parser::chunked() const -> bool
{
    return head_complete_ && (parser_.flags & F_CHUNKED) != 0;
}

void request_parser::discard()
{
    message_ = {};
    headers_ = {};
    head_bytes_ = 0;
    kept_head_bytes_ = 0;
}

auto request_parser::take() -> request
{
    auto out = std::move(message_);
    reset();
    return out;
}

struct response_parser::callbacks
{
    static auto self(http_parser* it) -> response_parser&
    {
        return *static_cast<response_parser*>(it->data);
    }

    static auto make() -> http_parser_settings
    {
        lift_head_limit();
        auto out = http_parser_settings{};
        http_parser_settings_init(&out);
        out.on_header_field = [](http_parser* p, char const* at, std::size_t n)
        {
            return self(p).headers_.name({at, n}) > max_response_head ? 1 : 0;
        };
        out.on_header_value = [](http_parser* p, char const* at, std::size_t n)
        {
            return self(p).headers_.value({at, n}) > max_response_head ? 1 : 0;
        };
        out.on_headers_complete = [](http_parser* p)
        {
            auto& it = self(p);
            auto headers = it.headers_.take();
            it.interim_ = p->status_code < first_final_status;
            p->upgrade = 0;
            if (!is_valid_head(*p, headers))
            {
                return -1;
            }
            if (!it.interim_)
            {
                it.part_ =
                    (p->flags & F_CHUNKED) != 0 ? part::line : part::body;
                it.progress_.until_close =
                    http_message_needs_eof(p) != 0 && !it.head_request_;
                it.progress_.head = response_head{
                    static_cast<int>(p->status_code), std::move(headers)};
            }
            return it.head_request_ || ends_with_head(*p) ? 1 : 0;
        };
        out.on_body = [](http_parser* p, char const* at, std::size_t n)
        {
            self(p).progress_.body.append(at, n);
            return 0;
        };
        out.on_chunk_header = [](http_parser* p)
        {
            auto& it = self(p);
            it.chunk_left_ = p->content_length;
            if (it.chunk_left_ > 0)
            {
                it.part_ = part::chunk;
                it.last_ = '\0';
            }
            return 0;
        };
        out.on_message_complete = [](http_parser* p)
        {
            auto& it = self(p);
            if (it.interim_)
            {
                it.in_status_line_ = true;
                it.status_line_.clear();
                return 0;
            }
            it.progress_.complete = true;
            it.complete_ = true;
            http_parser_pause(p, 1);
            return 0;
        };
        return out;
    }

    static auto is_valid_head(http_parser const& it, header_list const& headers)
        -> bool
    {
        auto const codings = count_headers(headers, "transfer-encoding");
        auto const coding =
            net::find_header(headers, "transfer-encoding").value_or("");
        // Any other coding would be handed over as if it were the plain body.
        auto const chunked =
            codings == 1 && it.http_minor == 1 && is_chunked(it, coding);
        // What follows would be taken for the body or for the next answer.
        auto const has_misplaced_body = ends_with_head(it) &&
                                        it.status_code != not_modified &&
                                        announces_body(it, headers);
        auto const is_http1 = it.http_major == 1 && it.http_minor <= 1;
        // No upgrade is asked for.
        constexpr auto switching_protocols = 101U;
        auto const valid_status = it.status_code >= first_status &&
                                  it.status_code != switching_protocols;
        return is_http1 && valid_status && !has_malformed_header(headers) &&
               (codings == 0 || chunked) && !has_misplaced_body;
    }

    /// Whether the status has no body, so that a length or coding, which a 304
    /// may state, is that of another answer: RFC 9112, 6.3.
    static auto ends_with_head(http_parser const& it) -> bool
    {
        return it.status_code < first_final_status ||
               it.status_code == no_content || it.status_code == not_modified;
    }

    /// Whether the body ends with the connection; http_parser keeps its own
    /// test private.
    static auto http_message_needs_eof(http_parser const* p) -> int
    {
        auto const chunked = (p->flags & F_CHUNKED) != 0;
        auto const sized = p->content_length != ~std::uint64_t{0};
        return !chunked && !sized && !ends_with_head(*p) ? 1 : 0;
    }
};

response_parser::response_parser(bool head_request)
    : head_request_(head_request)
{
    http_parser_init(&parser_, HTTP_RESPONSE);
    parser_.data = this;
}

auto response_parser::next_piece(std::string_view bytes) const
    -> std::string_view
{
    if (part_ == part::body)
    {
        return bytes;
    }
    if (part_ == part::chunk)
    {
        return bytes.substr(0,
                            std::min<std::uint64_t>(bytes.size(), chunk_left_));
    }
    auto const end = bytes.find('\n');
    return end == std::string_view::npos ? bytes : bytes.substr(0, end + 1);
}

/// http_parser takes a lone LF for the end of a line, any byte for the LF after
/// a CR, any two bytes for the end of a chunk, and a folded line for a part of
/// the one before. Each lets a damaged answer pass for a whole one.
auto response_parser::has_valid_line_end(std::string_view piece) -> bool
{
    for (auto const c : piece)
    {
        auto const after_cr = last_ == '\r';
        auto const folded = last_ == '\n' && (c == ' ' || c == '\t');
        auto const in_chunk_end = part_ == part::chunk_end && !after_cr;
        if ((c == '\n') != after_cr || folded || (in_chunk_end && c != '\r'))
        {
            return false;
        }
        last_ = c;
    }
    return true;
}

/// http_parser takes any number of digits, with spaces before them, that gives
/// at most 999. A status has three digits and is below 600: RFC 9110, 15.
auto response_parser::has_valid_status(std::string_view piece) -> bool
{
    constexpr auto status_at = std::string_view{"HTTP/1.1 "}.size();
    constexpr auto status_end = status_at + 3;
    if (!in_status_line_)
    {
        return true;
    }
    for (auto const c : piece)
    {
        // Empty lines may precede it.
        auto const leads = status_line_.empty() && (c == '\r' || c == '\n');
        if (!leads && status_line_.size() <= status_end)
        {
            status_line_ += c;
        }
    }
    in_status_line_ = status_line_.empty() || piece.back() != '\n';
    if (status_line_.size() <= status_end)
    {
        return in_status_line_;
    }
    auto const is_digit = [](char c)
    {
        return c >= '0' && c <= '9';
    };
    auto const first = status_line_[status_at];
    auto const after = status_line_[status_end];
    return first >= '1' && first <= '5' &&
           is_digit(status_line_[status_at + 1]) &&
           is_digit(status_line_[status_at + 2]) &&
           (after == ' ' || after == '\r');
}

void response_parser::execute(std::string_view bytes)
{
    static auto const settings = callbacks::make();
    // The parser may have been copied with its owner since the last call.
    parser_.data = this;
    http_parser_execute(&parser_, &settings, bytes.data(), bytes.size());
    auto const error = HTTP_PARSER_ERRNO(&parser_);
    malformed_ = malformed_ || (error != HPE_OK && error != HPE_PAUSED);
}

auto response_parser::feed(std::string_view bytes) -> response_progress
{
    progress_ = {};
    auto const n = complete_ ? 0 : bytes.size();
    while (!bytes.empty() && !complete_ && !malformed_)
    {
        auto const piece = next_piece(bytes);
        bytes.remove_prefix(piece.size());
        if (part_ == part::chunk)
        {
            chunk_left_ -= piece.size();
            execute(piece);
            part_ = chunk_left_ == 0 ? part::chunk_end : part::chunk;
            continue;
        }
        if (part_ != part::body &&
            (!has_valid_line_end(piece) || !has_valid_status(piece)))
        {
            malformed_ = true;
            break;
        }
        if (part_ == part::chunk_end && last_ == '\n')
        {
            part_ = part::line;
        }
        execute(piece);
    }
    framing_bytes_ += n - std::min(n, progress_.body.size());
    body_bytes_ += progress_.body.size();
    progress_.malformed =
        malformed_ ||
        (!complete_ &&
         framing_bytes_ > max_framing + max_framing_per_byte * body_bytes_);
    return std::move(progress_);
}

auto response_parser::feed_end() -> response_progress
{
    progress_ = {};
    if (!complete_ && !malformed_)
    {
        execute({});
        progress_.malformed = malformed_;
    }
    return std::move(progress_);
}

} // namespace primrosedeal::http1
