#ifndef LACEWINGBEAM_TOOL_CSV_HPP
#define LACEWINGBEAM_TOOL_CSV_HPP

#include "lacewingbeam/table.hpp"

#include <span>
#include <string>
#include <string_view>
#include <vector>

// CSV import and export of the services table, one line per row.
namespace lacewingbeam {

// Thrown for an invalid CSV file; the message names the line.
class csv_error : public error {
public:
    using error::error;
};

std::string write_csv(std::span<const raw_row> rows);

// Throws csv_error.
std::vector<raw_row> read_csv(std::string_view text);

} // namespace lacewingbeam

#endif
