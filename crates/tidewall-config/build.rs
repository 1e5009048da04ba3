//! Compiles the schema in `proto/` without protoc.
fn main() {
    println!("cargo:rerun-if-changed=../../proto/tidewall.proto");
    let mut compiler = protox::Compiler::new(["../../proto"]).expect("proto/ is there");
    compiler
        .include_source_info(true)
        .open_file("tidewall.proto")
        .expect("the schema compiles");
    let out = std::env::var_os("OUT_DIR").expect("cargo sets it");
    let path = std::path::Path::new(&out).join("schema.bin");
    std::fs::write(path, compiler.encode_file_descriptor_set())
        .expect("the build folder can be written");
}
