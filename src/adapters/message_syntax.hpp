#ifndef LACEWINGBEAM_ADAPTERS_MESSAGE_SYNTAX_HPP
#define LACEWINGBEAM_ADAPTERS_MESSAGE_SYNTAX_HPP

#include <cstdint>
#include <event2/buffer.h>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace lacewingbeam {

// The rules of one response. The status must be a final one, 200 to 599. Bytes
// after the end of the response are not checked.
struct response_rules {
    bool is_head_request = false; // the response has no body
};

// The rules of the requests of a connection. The end of each must be certain:
// one length, or chunks, and neither for methods that have no body here.
struct request_rules {};

// Checks the bytes of HTTP/1.1 messages as they arrive. evhttp is lenient: it
// takes "2O0" for status 2, for example, does not notice a chunk that is longer
// than its declared size, and uses the first of two lengths.
class message_syntax {
public:
    explicit message_syntax(std::variant<response_rules, request_rules> rules)
        : rules_(rules) {}

    // Returns false once the bytes so far do not begin a valid message.
    bool accept(std::string_view bytes);

    // Accepts bytes without their content if all of them belong to the data of
    // a body. Otherwise returns false and accepts none.
    bool accept_as_data(std::size_t size);

    // About the message that is being received.
    bool has_begun() const { return part_ != part::first_line || has_line_; }
    bool is_in_body() const { return has_begun() && !is_in_head(); }
    std::size_t head_bytes() const { return head_bytes_; }
    std::size_t header_fields() const { return fields_; }
    std::uint64_t body_bytes() const { return body_bytes_; }
    std::optional<std::uint64_t> declared_length() const { return length_; }

private:
    enum class part {
        first_line,
        headers,
        sized_body,
        chunk_size,
        chunk_data,
        chunk_end,
        trailers,
        unchecked, // up to the end of the connection, or after the response
        invalid
    };

    bool is_in_head() const {
        return part_ == part::first_line || part_ == part::headers;
    }
    bool is_in_data() const {
        return part_ == part::sized_body || part_ == part::chunk_data;
    }
    part after(std::string_view line);
    part after_status_line(std::string_view line);
    part after_request_line(std::string_view line);
    part after_header(std::string_view line);
    part after_framing_header(std::string_view name, std::string_view value);
    part after_headers();
    part after_chunk_size(std::string_view line);
    part end_message();
    bool may_have_body() const;
    std::size_t max_line_bytes() const;
    std::string_view accept_data(std::string_view bytes);
    std::string_view accept_line(std::string_view bytes);

    std::variant<response_rules, request_rules> rules_;
    part part_ = part::first_line;
    std::string line_; // incomplete
    bool has_line_ = false;
    bool has_field_ = false;
    bool is_framing_field_ = false;       // the last field
    int status_ = 0;                      // of a response
    bool method_has_body_ = false;        // of a request
    std::optional<std::uint64_t> length_; // Content-Length
    bool is_chunked_ = false;
    std::uint64_t left_ = 0; // bytes of the body or chunk
    std::size_t head_bytes_ = 0;
    std::size_t fields_ = 0;
    std::uint64_t body_bytes_ = 0;
};

// Checks the bytes that were added to the end of a buffer.
bool accept_last_bytes(message_syntax& syntax, evbuffer* buffer,
                       std::size_t size);

} // namespace lacewingbeam

#endif
