//! Plain-text tables, with every column as wide as its widest cell.

/// Prints the column titles and the rows below them.
pub fn print<const N: usize>(titles: [&str; N], rows: &[[String; N]]) {
    let width = |column: usize| {
        let cells = rows.iter().map(|row| row[column].chars().count());
        cells.chain([titles[column].len()]).max().unwrap_or(0)
    };
    let widths: Vec<_> = (0..N).map(width).collect();
    print_row(&titles.map(str::to_owned), &widths);
    for row in rows {
        print_row(row, &widths);
    }
}

fn print_row(cells: &[String], widths: &[usize]) {
    let cells = cells.iter().zip(widths).map(|(cell, width)| format!("{cell:<width$}"));
    println!("{}", cells.collect::<Vec<_>>().join("  ").trim_end());
}
