#ifndef LACEWINGBEAM_ADAPTERS_RESPONSE_SYNTAX_HPP
#define LACEWINGBEAM_ADAPTERS_RESPONSE_SYNTAX_HPP

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace lacewingbeam {

// Checks the bytes of one HTTP/1.1 response as they arrive. evhttp is lenient:
// it takes "2O0" for status 2, for example, and does not notice a chunk that is
// longer than its declared size.
class response_syntax {
public:
    // Responses to HEAD requests have no body.
    explicit response_syntax(bool is_head_request)
        : is_head_request_(is_head_request) {}

    // Returns false once the bytes so far do not begin a valid response. The
    // status must be a final one, 200 to 599. Bytes after the end of the
    // response are not checked.
    bool accept(std::string_view bytes);

private:
    enum class part {
        status_line,
        headers,
        sized_body,
        chunk_size,
        chunk_data,
        chunk_end,
        trailers,
        unchecked, // up to the end of the connection, or after the response
        invalid
    };

    part after(std::string_view line);
    part after_status_line(std::string_view line);
    part after_header(std::string_view line);
    part after_headers();
    part after_chunk_size(std::string_view line);
    std::string_view accept_data(std::string_view bytes);
    std::string_view accept_line(std::string_view bytes);

    bool is_head_request_;
    part part_ = part::status_line;
    std::string line_; // incomplete
    bool has_field_ = false;
    int status_ = 0;
    std::optional<std::uint64_t> length_; // Content-Length
    bool is_chunked_ = false;
    std::uint64_t left_ = 0; // bytes of the body or chunk
};

} // namespace lacewingbeam

#endif
