#include "http_transfer.hpp"

#include <algorithm>
#include <cctype>
#include <charconv>

#include "currantspar/base/wire_text.hpp"
#include "currantspar/io/clock.hpp"
#include "currantspar/io/log.hpp"

namespace currantspar::io {

namespace {

constexpr std::size_t head_bytes_most = 64U << 10U;
constexpr long receive_buffer_bytes = 8192;
constexpr long keepalive_idle_seconds = 5;
constexpr long keepalive_interval_seconds = 2;
constexpr int first_interim_status = 100;
constexpr int first_final_status = 200;
constexpr int last_final_status = 599;
constexpr int status_no_content = 204;
constexpr int status_not_modified = 304;

std::string lower(std::string_view text)
{
    std::string result(text);
    std::transform(result.begin(), result.end(), result.begin(),
                   [](unsigned char letter) { return static_cast<char>(std::tolower(letter)); });
    return result;
}

std::string_view trim(std::string_view text)
{
    const std::size_t begin = text.find_first_not_of(" \t");
    const std::size_t end = text.find_last_not_of(" \t\r\n");
    return begin == std::string_view::npos ? std::string_view() : text.substr(begin, end - begin + 1);
}

template <typename Number>
std::optional<Number> parse_number(std::string_view text)
{
    Number value{};
    const auto [stop, problem] = std::from_chars(text.data(), text.data() + text.size(), value);
    const bool whole = problem == std::errc() && stop == text.data() + text.size();
    return whole ? std::optional<Number>(value) : std::nullopt;
}

} // namespace

std::string http_head::header(std::string_view name) const
{
    const auto found = std::find_if(headers.begin(), headers.end(),
                                    [&](const http_header& header) { return lower(header.name) == name; });
    return found == headers.end() ? std::string() : found->value;
}

http_transfer::http_transfer(transfer_id id, http_request request, std::shared_ptr<http_handler> handler,
                             const http_client_options& options)
    : id_(id), request_(std::move(request)), handler_(std::move(handler)), handle_(curl_easy_init()),
      active_(monotonic_now())
{
    set_options(options);
    set_method();
}

http_transfer::~http_transfer()
{
    curl_easy_cleanup(handle_);
    curl_slist_free_all(headers_);
}

void http_transfer::set_options(const http_client_options& options)
{
    const auto connect_limit = std::chrono::duration_cast<std::chrono::milliseconds>(request_.connect_limit);
    curl_easy_setopt(handle_, CURLOPT_URL, request_.url.c_str());
    curl_easy_setopt(handle_, CURLOPT_PRIVATE, this);
    curl_easy_setopt(handle_, CURLOPT_PROTOCOLS_STR, "http");
    curl_easy_setopt(handle_, CURLOPT_PROXY, "");
    curl_easy_setopt(handle_, CURLOPT_PATH_AS_IS, 1L);
    curl_easy_setopt(handle_, CURLOPT_HTTP_VERSION, CURL_HTTP_VERSION_1_1);
    curl_easy_setopt(handle_, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(handle_, CURLOPT_BUFFERSIZE, receive_buffer_bytes);
    curl_easy_setopt(handle_, CURLOPT_CONNECTTIMEOUT_MS, static_cast<long>(connect_limit.count()));
    curl_easy_setopt(handle_, CURLOPT_TCP_KEEPALIVE, 1L);
    curl_easy_setopt(handle_, CURLOPT_TCP_KEEPIDLE, keepalive_idle_seconds);
    curl_easy_setopt(handle_, CURLOPT_TCP_KEEPINTVL, keepalive_interval_seconds);
    curl_easy_setopt(handle_, CURLOPT_MAXAGE_CONN, static_cast<long>(options.pooled_idle_most.count()));
    curl_easy_setopt(handle_, CURLOPT_FRESH_CONNECT, request_.new_connection ? 1L : 0L);
    curl_easy_setopt(handle_, CURLOPT_FORBID_REUSE, request_.new_connection ? 1L : 0L);
    curl_easy_setopt(handle_, CURLOPT_HEADERFUNCTION, &http_transfer::on_header);
    curl_easy_setopt(handle_, CURLOPT_HEADERDATA, this);
    curl_easy_setopt(handle_, CURLOPT_WRITEFUNCTION, &http_transfer::on_body);
    curl_easy_setopt(handle_, CURLOPT_WRITEDATA, this);
    curl_easy_setopt(handle_, CURLOPT_PREREQFUNCTION, &http_transfer::on_connected);
    curl_easy_setopt(handle_, CURLOPT_PREREQDATA, this);
    if (request_.write_deadline) {
        curl_easy_setopt(handle_, CURLOPT_VERBOSE, 1L);
        curl_easy_setopt(handle_, CURLOPT_DEBUGFUNCTION, &http_transfer::on_debug);
        curl_easy_setopt(handle_, CURLOPT_DEBUGDATA, this);
    }
}

void http_transfer::set_method()
{
    bool has_type = false;
    for (const http_header& header : request_.headers) {
        has_type = has_type || lower(header.name) == "content-type";
        // A header without a value is written with a semicolon; a colon would remove it.
        const std::string line = header.value.empty() ? header.name + ";" : header.name + ": " + header.value;
        headers_ = curl_slist_append(headers_, line.c_str());
    }
    headers_ = curl_slist_append(headers_, "Expect:");
    if (!has_type) {
        headers_ = curl_slist_append(headers_, "Content-Type:");
    }
    if (request_.body) {
        curl_easy_setopt(handle_, CURLOPT_POSTFIELDS, request_.body->data());
        curl_easy_setopt(handle_, CURLOPT_POSTFIELDSIZE_LARGE,
                         static_cast<curl_off_t>(request_.body->size()));
    }
    if (request_.method == "HEAD") {
        curl_easy_setopt(handle_, CURLOPT_NOBODY, 1L);
    } else {
        curl_easy_setopt(handle_, CURLOPT_CUSTOMREQUEST, request_.method.c_str());
    }
    curl_easy_setopt(handle_, CURLOPT_HTTPHEADER, headers_);
}

int http_transfer::on_connected(void* self, char*, char*, int, int)
{
    auto& transfer = *static_cast<http_transfer*>(self);
    const instant now = monotonic_now();
    const bool second = transfer.written_ && !transfer.may_resend();
    const bool overdue = transfer.request_.write_deadline && now > *transfer.request_.write_deadline;
    if (second || overdue) {
        return CURL_PREREQFUNC_ABORT;
    }
    transfer.active_ = now;
    if (!transfer.written_) {
        transfer.written_ = true;
        transfer.handler_->on_written();
    }
    return CURL_PREREQFUNC_OK;
}

int http_transfer::on_debug(CURL*, curl_infotype kind, char*, std::size_t, void* self)
{
    auto& transfer = *static_cast<http_transfer*>(self);
    const bool wrote = kind == CURLINFO_HEADER_OUT || kind == CURLINFO_DATA_OUT;
    if (wrote && monotonic_now() > *transfer.request_.write_deadline) {
        transfer.late_ = true;
    }
    return 0;
}

std::size_t http_transfer::on_header(char* bytes, std::size_t size, std::size_t count, void* self)
{
    return static_cast<http_transfer*>(self)->take_header(std::string_view(bytes, size * count));
}

std::size_t http_transfer::take_header(std::string_view line)
{
    active_ = monotonic_now();
    head_bytes_ += line.size();
    if (head_bytes_ > head_bytes_most) {
        return 0;
    }
    if (head_done_) {
        return line.size(); // a trailer
    }
    if (line.starts_with("HTTP/")) {
        if (!begin_head(line)) {
            return 0;
        }
    } else if (trim(line).empty()) {
        end_head();
    } else if (!add_header(line)) {
        return 0;
    }
    return line.size();
}

bool http_transfer::begin_head(std::string_view line)
{
    head_ = http_head();
    constexpr std::string_view version = "HTTP/1.";
    constexpr std::size_t status_at = version.size() + 2;
    constexpr std::size_t status_end = status_at + 3;
    const std::string_view text = trim(line);
    if (!text.starts_with(version) || text.size() < status_end || text[status_at - 1] != ' ' ||
        (text.size() > status_end && text[status_end] != ' ')) {
        return false;
    }
    const std::string_view digits = text.substr(status_at, status_end - status_at);
    if (digits.find_first_not_of("0123456789") != std::string_view::npos) {
        return false;
    }
    head_.status = parse_number<int>(digits).value_or(0);
    return head_.status >= first_interim_status && head_.status <= last_final_status;
}

bool http_transfer::add_header(std::string_view line)
{
    const std::size_t colon = line.find(':');
    if (colon == std::string_view::npos) {
        return true; // not a header, and not passed on
    }
    http_header header{std::string(line.substr(0, colon)), std::string(trim(line.substr(colon + 1)))};
    const std::string name = lower(header.name);
    if (name == "content-length") {
        head_.content_length = parse_number<std::uint64_t>(header.value);
        head_.delimited = head_.content_length.has_value();
    } else if (name == "transfer-encoding") {
        head_.delimited = lower(header.value).find("chunked") != std::string::npos;
    }
    if (!is_http_token(header.name) || !is_field_value(header.value)) {
        refusal_ = "header can't be passed on: " + escaped_excerpt(trim(line));
        return false;
    }
    head_.headers.push_back(std::move(header));
    return true;
}

void http_transfer::end_head()
{
    if (head_.status < first_final_status) {
        return;
    }
    head_done_ = true;
    const bool bodiless =
        request_.method == "HEAD" || head_.status == status_no_content || head_.status == status_not_modified;
    head_.delimited = head_.delimited || bodiless;
    handler_->on_head(head_);
}

std::size_t http_transfer::on_body(char* bytes, std::size_t size, std::size_t count, void* self)
{
    auto& transfer = *static_cast<http_transfer*>(self);
    transfer.active_ = monotonic_now();
    if (!transfer.handler_->on_data(std::string_view(bytes, size * count))) {
        transfer.paused_ = true;
        return CURL_WRITEFUNC_PAUSE;
    }
    return size * count;
}

bool http_transfer::silent(instant now)
{
    if (paused_) {
        return false;
    }
    curl_off_t uploaded = 0;
    curl_easy_getinfo(handle_, CURLINFO_SIZE_UPLOAD_T, &uploaded);
    if (uploaded != uploaded_) {
        uploaded_ = uploaded;
        active_ = now;
    }
    return now - active_ > request_.idle_limit;
}

void http_transfer::unpause()
{
    if (paused_) {
        paused_ = false;
        active_ = monotonic_now();
        curl_easy_pause(handle_, CURLPAUSE_CONT);
    }
}

transfer_result http_transfer::judge(CURLcode code) const
{
    if (code == CURLE_OK) {
        return head_done_ && head_.delimited ? transfer_result::complete : transfer_result::broken;
    }
    return written_ ? transfer_result::broken : transfer_result::not_written;
}

void http_transfer::finish(CURLcode code)
{
    transfer_end end;
    end.how = judge(code);
    end.status = head_done_ ? head_.status : 0;
    end.late = late_;
    end.reason = !refusal_.empty() ? refusal_ : code == CURLE_OK ? "" : curl_easy_strerror(code);
    if (!refusal_.empty()) {
        log_event(log_level::warning, "answer_refused",
                  {{"url", request_.url.substr(0, request_.url.find('?'))},
                   {"status", std::to_string(head_.status)},
                   {"reason", refusal_}});
    }
    handler_->on_end(end);
}

void http_transfer::finish_silent()
{
    transfer_end end;
    end.how = written_ ? transfer_result::silent : transfer_result::not_written;
    end.status = head_done_ ? head_.status : 0;
    end.late = late_;
    end.reason = "nothing came within the idle limit";
    handler_->on_end(end);
}

} // namespace currantspar::io
