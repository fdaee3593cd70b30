#include "message_syntax.hpp"

#include "http_types.hpp"

#include <algorithm>
#include <charconv>
#include <vector>

namespace lacewingbeam {

namespace {

// Longer than any head that evhttp accepts.
constexpr std::size_t max_head_line_bytes = 65536;

// evhttp searches an incomplete line again with each read.
constexpr std::size_t max_chunk_line_bytes = 1024;

constexpr int first_final_status = 200;
constexpr int last_status = 599;
constexpr int status_no_content = 204;
constexpr int status_not_modified = 304;

constexpr int decimal = 10;
constexpr int hexadecimal = 16;

bool is_digit(char value) {
    return value >= '0' && value <= '9';
}

// The characters of field names (RFC 9110, section 5.6.2).
bool is_token_character(char value) {
    const bool letter =
        (value >= 'a' && value <= 'z') || (value >= 'A' && value <= 'Z');
    return letter || is_digit(value) ||
           std::string_view("!#$%&'*+-.^_`|~").find(value) !=
               std::string_view::npos;
}

bool is_control_character(char value) {
    constexpr unsigned char first_printable = 0x20;
    constexpr unsigned char del = 0x7f;
    const auto code = static_cast<unsigned char>(value);
    return (code < first_printable && value != '\t') || code == del;
}

bool has_control_character(std::string_view text) {
    return std::any_of(text.begin(), text.end(), is_control_character);
}

std::string_view trim(std::string_view text) {
    constexpr std::string_view blanks = " \t";
    const auto first = text.find_first_not_of(blanks);
    return first == std::string_view::npos
               ? std::string_view()
               : text.substr(first, text.find_last_not_of(blanks) - first + 1);
}

// The whole text must be digits, without a sign or prefix.
std::optional<std::uint64_t> parse_digits(std::string_view text, int base) {
    std::uint64_t value = 0;
    const auto* end = text.data() + text.size();
    const auto result = std::from_chars(text.data(), end, value, base);
    const bool whole =
        !text.empty() && result.ec == std::errc() && result.ptr == end;
    return whole ? std::optional(value) : std::nullopt;
}

} // namespace

bool accept_last_bytes(message_syntax& syntax, evbuffer* buffer,
                       std::size_t size) {
    // Finding the end of a long buffer takes time in proportion to its length.
    if (syntax.accept_as_data(size)) {
        return true;
    }
    evbuffer_ptr from;
    evbuffer_ptr_set(buffer, &from, evbuffer_get_length(buffer) - size,
                     EVBUFFER_PTR_SET);
    const auto length = static_cast<ev_ssize_t>(size);
    const int count = evbuffer_peek(buffer, length, &from, nullptr, 0);
    std::vector<evbuffer_iovec> pieces(static_cast<std::size_t>(count));
    evbuffer_peek(buffer, length, &from, pieces.data(), count);
    return std::all_of(
        pieces.begin(), pieces.end(), [&](const evbuffer_iovec& piece) {
            return syntax.accept(
                {static_cast<const char*>(piece.iov_base), piece.iov_len});
        });
}

bool message_syntax::accept(std::string_view bytes) {
    while (!bytes.empty() && part_ != part::unchecked &&
           part_ != part::invalid) {
        bytes = is_in_data() ? accept_data(bytes) : accept_line(bytes);
    }
    return part_ != part::invalid;
}

bool message_syntax::accept_as_data(std::size_t size) {
    if (!is_in_data() || size >= left_) {
        return false;
    }
    left_ -= size;
    body_bytes_ += size;
    return true;
}

std::string_view message_syntax::accept_data(std::string_view bytes) {
    const auto size = std::min<std::uint64_t>(left_, bytes.size());
    left_ -= size;
    body_bytes_ += size;
    if (left_ == 0) {
        part_ = part_ == part::chunk_data ? part::chunk_end : end_message();
    }
    return bytes.substr(size);
}

std::size_t message_syntax::max_line_bytes() const {
    const bool in_request = std::holds_alternative<request_rules>(rules_);
    return in_request && (part_ == part::chunk_size || part_ == part::chunk_end)
               ? max_chunk_line_bytes
               : max_head_line_bytes;
}

std::string_view message_syntax::accept_line(std::string_view bytes) {
    const auto end = bytes.find('\n');
    std::string_view line = bytes.substr(0, end);
    has_line_ = true;
    head_bytes_ += is_in_head() ? line.size() : 0;
    if (line_.size() + line.size() > max_line_bytes()) {
        part_ = part::invalid;
        return {};
    }
    const bool is_complete = end != std::string_view::npos;
    if (!is_complete || !line_.empty()) {
        line_ += line;
        line = line_;
    }
    if (!is_complete) {
        return {};
    }
    const bool has_return = line.ends_with('\r');
    if (has_return) {
        line.remove_suffix(1);
    }
    has_line_ = false;
    // After a chunk that is one byte too short, a lone line feed is left.
    const bool valid = !has_control_character(line) &&
                       (has_return || part_ != part::chunk_end);
    part_ = valid ? after(line) : part::invalid;
    line_.clear();
    return bytes.substr(end + 1);
}

message_syntax::part message_syntax::after(std::string_view line) {
    switch (part_) {
    case part::first_line:
        return std::holds_alternative<response_rules>(rules_)
                   ? after_status_line(line)
                   : after_request_line(line);
    case part::headers:
        return line.empty() ? after_headers() : after_header(line);
    case part::trailers:
        return line.empty() ? end_message() : after_header(line);
    case part::chunk_size:
        return after_chunk_size(line);
    default: // the end of a chunk
        return line.empty() ? part::chunk_size : part::invalid;
    }
}

// "HTTP/1.x ddd", and perhaps " " and a reason.
message_syntax::part message_syntax::after_status_line(std::string_view line) {
    constexpr std::string_view version = "HTTP/1.";
    constexpr std::size_t status_at = 9;
    constexpr std::size_t status_digits = 3;
    const auto reason_at = status_at + status_digits;
    const bool complete =
        line.size() >= reason_at && line.starts_with(version) &&
        is_digit(line[version.size()]) && line[status_at - 1] == ' ' &&
        (line.size() == reason_at || line[reason_at] == ' ');
    const auto status =
        complete ? parse_digits(line.substr(status_at, status_digits), decimal)
                 : std::nullopt;
    if (!status || *status < first_final_status || *status > last_status) {
        return part::invalid;
    }
    status_ = static_cast<int>(*status);
    return part::headers;
}

// evhttp checks the rest of the line.
message_syntax::part message_syntax::after_request_line(std::string_view line) {
    if (line.empty()) {
        return part::first_line; // RFC 9112, section 2.2
    }
    const auto method = line.substr(0, line.find(' '));
    method_has_body_ = method == "POST" || method == "PUT" || method == "PATCH";
    return part::headers;
}

message_syntax::part message_syntax::after_header(std::string_view line) {
    const bool continues_last = line.starts_with(' ') || line.starts_with('\t');
    if (continues_last) {
        return has_field_ && !is_framing_field_ ? part_ : part::invalid;
    }
    has_field_ = true;
    is_framing_field_ = false;
    ++fields_;
    const auto colon = line.find(':');
    const auto name = line.substr(0, colon);
    if (colon == std::string_view::npos || name.empty() ||
        !std::all_of(name.begin(), name.end(), is_token_character)) {
        return part::invalid;
    }
    return part_ == part::trailers
               ? part_
               : after_framing_header(name, trim(line.substr(colon + 1)));
}

message_syntax::part
message_syntax::after_framing_header(std::string_view name,
                                     std::string_view value) {
    if (equal_ignoring_case(name, "Content-Length")) {
        is_framing_field_ = true;
        const auto length = parse_digits(value, decimal);
        const bool valid = length && (!length_ || *length_ == *length);
        length_ = length;
        return valid ? part_ : part::invalid;
    }
    if (equal_ignoring_case(name, "Transfer-Encoding")) {
        is_framing_field_ = true;
        const bool valid =
            !is_chunked_ && equal_ignoring_case(value, "chunked");
        is_chunked_ = true;
        return valid ? part_ : part::invalid;
    }
    return part_;
}

bool message_syntax::may_have_body() const {
    struct visitor {
        const message_syntax& self;

        bool operator()(const response_rules& rules) const {
            return !rules.is_head_request &&
                   self.status_ != status_no_content &&
                   self.status_ != status_not_modified;
        }
        bool operator()(const request_rules&) const {
            return self.method_has_body_;
        }
    };
    return std::visit(visitor{*this}, rules_);
}

message_syntax::part message_syntax::after_headers() {
    if (length_ && is_chunked_) {
        return part::invalid;
    }
    const bool is_request = std::holds_alternative<request_rules>(rules_);
    const bool has_length = length_ && *length_ > 0;
    if (!may_have_body()) {
        return is_request && (is_chunked_ || has_length) ? part::invalid
                                                         : end_message();
    }
    if (is_chunked_) {
        return part::chunk_size;
    }
    if (!has_length) {
        return length_ || is_request ? end_message() : part::unchecked;
    }
    left_ = *length_;
    return part::sized_body;
}

message_syntax::part message_syntax::end_message() {
    if (std::holds_alternative<response_rules>(rules_)) {
        return part::unchecked;
    }
    has_field_ = false;
    is_framing_field_ = false;
    length_.reset();
    is_chunked_ = false;
    head_bytes_ = 0;
    fields_ = 0;
    body_bytes_ = 0;
    return part::first_line;
}

message_syntax::part message_syntax::after_chunk_size(std::string_view line) {
    const auto size =
        parse_digits(trim(line.substr(0, line.find(';'))), hexadecimal);
    if (!size) {
        return part::invalid;
    }
    left_ = *size;
    has_field_ = false;
    return *size == 0 ? part::trailers : part::chunk_data;
}

} // namespace lacewingbeam
