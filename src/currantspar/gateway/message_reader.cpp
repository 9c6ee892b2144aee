#include "currantspar/gateway/message_reader.hpp"

#include <algorithm>

#include <boost/asio/buffer.hpp>
#include <boost/beast/core/buffers_range.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/optional.hpp>

namespace currantspar::gateway {

namespace {

namespace http = boost::beast::http;

constexpr int first_interim_status = 100;
constexpr int first_final_status = 200;
constexpr int last_final_status = 599;
/// A server that sends more interim responses than this to one request isn't making progress.
constexpr unsigned max_interim_responses = 16;

/// Bodies declared up to this size are allocated when they are announced.
constexpr std::size_t small_body_bytes = 16384;
/// The memory of a header field beside its text: in the parser and in the request.
constexpr std::size_t field_bytes = 128 + sizeof(http_field);

/// A body in a string, whose memory grows with what was received and not with what was announced.
struct received_body
{
    using value_type = std::string;

    static std::uint64_t size(const value_type& body) { return body.size(); }

    class reader
    {
    public:
        template <bool IsRequest, typename Fields>
        reader(http::header<IsRequest, Fields>&, value_type& body) : body_(body)
        {}

        void init(const boost::optional<std::uint64_t>& length, boost::system::error_code& problem)
        {
            problem = {};
            if (length && *length <= small_body_bytes) {
                body_.reserve(static_cast<std::size_t>(*length));
            }
        }

        template <typename Buffers>
        std::size_t put(const Buffers& buffers, boost::system::error_code& problem)
        {
            problem = {};
            std::size_t count = 0;
            for (const auto buffer : boost::beast::buffers_range_ref(buffers)) {
                body_.append(static_cast<const char*>(buffer.data()), buffer.size());
                count += buffer.size();
            }
            return count;
        }

        void finish(boost::system::error_code& problem) { problem = {}; }

    private:
        value_type& body_;
    };
};

/// A header line that starts with whitespace continues the previous one (obsolete line folding).
/// Intermediaries parse such lines differently.
bool has_folded_line(std::string_view bytes)
{
    const std::size_t end = bytes.find("\r\n\r\n");
    const std::string_view head = bytes.substr(0, end);
    return head.find("\r\n ") != std::string_view::npos || head.find("\r\n\t") != std::string_view::npos;
}

std::size_t count_lines(std::string_view bytes)
{
    return static_cast<std::size_t>(std::count(bytes.begin(), bytes.end(), '\n'));
}

template <typename Fields>
http_fields copy_fields(const Fields& from)
{
    http_fields out;
    for (const auto& field : from) {
        out.push_back({std::string(field.name_string()), std::string(field.value())});
    }
    return out;
}

/// True when a message declares no transfer coding, or chunked alone and once. Another coding can't be
/// decoded here, and where the body ends would be a guess (RFC 9112, 6.1 and 6.3).
template <typename Fields>
bool has_usable_framing(const Fields& fields)
{
    const std::size_t codings = fields.count(http::field::transfer_encoding);
    if (codings > 0) {
        return codings == 1 && fields.count(http::field::content_length) == 0 &&
               boost::beast::iequals(fields[http::field::transfer_encoding], "chunked");
    }
    const auto length = fields[http::field::content_length];
    return fields.count(http::field::content_length) <= 1 &&
           std::all_of(length.begin(), length.end(), [](char each) { return each >= '0' && each <= '9'; });
}

read_progress to_progress(const boost::system::error_code& problem)
{
    if (problem == http::error::header_limit) {
        return read_progress::head_too_large;
    }
    if (problem == http::error::body_limit) {
        return read_progress::body_too_large;
    }
    return read_progress::malformed;
}

/// Feeds the parser until it is done, needs more bytes or fails. What stays in `bytes` belongs to an element
/// whose end hasn't arrived: the head, a chunk's size line or the trailer. The parser doesn't limit the last
/// two.
template <typename Parser>
read_progress feed(Parser& parser, std::string& bytes, std::size_t max_element_bytes, bool head_only = false)
{
    while (!bytes.empty() && !parser.is_done() && !(head_only && parser.is_header_done())) {
        boost::system::error_code problem;
        const std::size_t used = parser.put(boost::asio::buffer(bytes), problem);
        bytes.erase(0, used);
        if (problem == http::error::need_more) {
            return bytes.size() > max_element_bytes ? read_progress::head_too_large
                                                    : read_progress::incomplete;
        }
        if (problem) {
            return to_progress(problem);
        }
        if (used == 0) {
            break;
        }
    }
    return parser.is_done() ? read_progress::complete : read_progress::incomplete;
}

} // namespace

struct request_reader::implementation
{
    explicit implementation(reader_limits given) : limits(given) {}

    /// Checks what the parser lets pass, once the head is done.
    read_progress check_head()
    {
        head_checked = true;
        const auto& message = parser.get();
        if (message.version() != 11 || message.count(http::field::host) != 1 ||
            !has_usable_framing(message)) {
            return read_progress::malformed;
        }
        // The parser adds the fields of a trailer to those of the head.
        head_fields = copy_fields(message);
        head_bytes = 0;
        for (const http_field& field : head_fields) {
            head_bytes += field_bytes + 2 * (field.name.size() + field.value.size());
        }
        return read_progress::complete;
    }

    reader_limits limits;
    http::request_parser<received_body> parser;
    /// Counts what the parser takes for the lines of a head that isn't complete.
    void on_head_consumed(std::size_t lines, std::size_t bytes) { head_bytes += lines * field_bytes + bytes; }

    bool head_checked = false;
    http_fields head_fields;
    std::size_t head_bytes = 0; ///< memory of the head
};

request_reader::request_reader(reader_limits limits) : impl_(std::make_unique<implementation>(limits))
{
    impl_->parser.eager(true);
    impl_->parser.header_limit(static_cast<std::uint32_t>(limits.header_bytes));
    impl_->parser.body_limit(limits.body_bytes);
}

request_reader::~request_reader() = default;

read_progress request_reader::read(std::string& bytes)
{
    if (!impl_->head_checked) {
        const read_progress head = read_head(bytes);
        if (head != read_progress::complete) {
            return head;
        }
    }
    return feed(impl_->parser, bytes, impl_->limits.header_bytes);
}

read_progress request_reader::read_head(std::string& bytes)
{
    if (has_folded_line(bytes)) {
        return read_progress::malformed;
    }
    const std::size_t bytes_before = bytes.size();
    const std::size_t lines_before = count_lines(bytes);
    impl_->parser.eager(false);
    const read_progress progress = feed(impl_->parser, bytes, impl_->limits.header_bytes, true);
    impl_->parser.eager(true);
    impl_->on_head_consumed(lines_before - count_lines(bytes), bytes_before - bytes.size());
    if (progress != read_progress::incomplete && progress != read_progress::complete) {
        return progress;
    }
    return impl_->parser.is_header_done() ? impl_->check_head() : read_progress::incomplete;
}

bool request_reader::head_done() const
{
    return impl_->parser.is_header_done();
}

bool request_reader::expects_continue() const
{
    return impl_->parser.is_header_done() &&
           boost::beast::iequals(impl_->parser.get()[http::field::expect], "100-continue");
}

bool request_reader::keep_alive() const
{
    return impl_->parser.get().keep_alive();
}

std::optional<std::uint64_t> request_reader::content_length() const
{
    const auto length = impl_->parser.content_length();
    return length ? std::optional<std::uint64_t>(*length) : std::nullopt;
}

std::size_t request_reader::body_bytes() const
{
    return impl_->parser.get().body().size();
}

std::size_t request_reader::allocated_bytes() const
{
    return impl_->head_bytes + impl_->parser.get().body().capacity();
}

void request_reader::allocate_body(std::size_t bytes)
{
    impl_->parser.get().body().reserve(bytes);
}

http_request request_reader::take()
{
    auto message = impl_->parser.release();
    return {std::string(message.method_string()), std::string(message.target()),
            std::move(impl_->head_fields), std::move(message.body())};
}

struct response_reader::implementation
{
    implementation(reader_limits given, bool to_head) : limits(given), answers_head(to_head) { restart(); }

    void restart()
    {
        parser.emplace();
        parser->eager(true);
        parser->header_limit(static_cast<std::uint32_t>(limits.header_bytes));
        parser->body_limit(limits.body_bytes);
        parser->skip(answers_head);
    }

    read_progress read(std::string& bytes, bool head_only)
    {
        for (;;) {
            const read_progress progress = feed(*parser, bytes, limits.header_bytes, head_only);
            const int status = static_cast<int>(parser->get().result_int());
            const bool has_valid_status = status >= first_interim_status && status <= last_final_status;
            if (parser->is_header_done() && (!has_valid_status || !has_usable_framing(parser->get()))) {
                return read_progress::malformed;
            }
            const bool interim = progress == read_progress::complete && status < first_final_status;
            if (!interim) {
                return progress;
            }
            if (++interim_responses > max_interim_responses) {
                return read_progress::malformed;
            }
            restart();
            parser->eager(!head_only);
        }
    }

    reader_limits limits;
    bool answers_head;
    unsigned interim_responses = 0;
    boost::optional<http::response_parser<http::string_body>> parser;
};

response_reader::response_reader(reader_limits limits, bool answers_head)
    : impl_(std::make_unique<implementation>(limits, answers_head))
{}

response_reader::~response_reader() = default;

read_progress response_reader::read_head(std::string& bytes)
{
    impl_->parser->eager(false);
    const read_progress progress = impl_->read(bytes, true);
    impl_->parser->eager(true);
    return progress;
}

read_progress response_reader::read(std::string& bytes)
{
    return impl_->read(bytes, false);
}

bool response_reader::end_of_connection()
{
    if (!impl_->parser->is_header_done() || !impl_->parser->need_eof()) {
        return false;
    }
    boost::system::error_code problem;
    impl_->parser->put_eof(problem);
    return !problem && impl_->parser->is_done();
}

void response_reader::allow_endless_body()
{
    // A body of a declared length is buffered at once, so that one stays limited.
    if (!impl_->parser->content_length()) {
        impl_->parser->body_limit(boost::none);
    }
}

bool response_reader::head_done() const
{
    return impl_->parser->is_header_done();
}

int response_reader::status() const
{
    return static_cast<int>(impl_->parser->get().result_int());
}

std::optional<std::uint64_t> response_reader::content_length() const
{
    const auto length = impl_->parser->content_length();
    return length ? std::optional<std::uint64_t>(*length) : std::nullopt;
}

http_fields response_reader::fields() const
{
    return copy_fields(impl_->parser->get());
}

bool response_reader::keep_alive() const
{
    return !impl_->parser->need_eof() && impl_->parser->get().keep_alive();
}

std::string response_reader::take_body()
{
    return std::exchange(impl_->parser->get().body(), std::string());
}

} // namespace currantspar::gateway
