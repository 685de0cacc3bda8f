//! Regenerates the code of the operators' schema, `crates/operator/src/generated.rs`.

use std::path::PathBuf;

fn main() {
    let schema = PathBuf::from("crates/operator/schema");
    let result = volo_build::Builder::protobuf()
        .add_service(schema.join("operator.proto"))
        .include_dirs(vec![schema])
        .out_dir("crates/operator/src")
        .filename(PathBuf::from("generated.rs"))
        .write();
    if let Err(error) = result {
        eprintln!("error: {error}");
        std::process::exit(1);
    }
}
